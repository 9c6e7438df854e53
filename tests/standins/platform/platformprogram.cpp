#include "standins/platform/platformprogram.h"

#include "standins/common/control.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace standins {

NLOHMANN_JSON_SERIALIZE_ENUM(PlatformMode, { { PlatformMode::Unknown, nullptr },
                                             { PlatformMode::Up, "up" },
                                             { PlatformMode::Down, "down" },
                                             { PlatformMode::Stale, "stale" },
                                             { PlatformMode::Slow, "slow" },
                                             { PlatformMode::Garbage, "garbage" } })

namespace {

/// Longest time that a watch waits for a change.
constexpr auto watchDurationMax = std::chrono::milliseconds(60000);

const std::string garbageBody = "\x01\xff<html>[[row]] = {{{ not a table, not a host list";

/// Returns the query parameter `name` as a number; 0 if it is missing or not a number.
auto queryNumber(const std::string &target, const std::string &name) -> std::uint64_t
{
    for (const char separator : { '?', '&' }) {
        const std::string prefix = separator + name + "=";
        const auto position = target.find(prefix);
        if (position != std::string::npos) {
            return std::strtoull(target.c_str() + position + prefix.size(), nullptr, 10);
        }
    }
    return 0;
}

auto makeAnswer(unsigned status, std::string body) -> HttpAnswer
{
    HttpAnswer answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

/// Returns `time` in the date format of HTTP (RFC 9110).
auto httpDate(std::time_t time) -> std::string
{
    std::array<char, sizeof("Sun, 06 Nov 1994 08:49:37 GMT")> text {};
    std::tm parts {};
    gmtime_r(&time, &parts);
    std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
    return text.data();
}

} // namespace

PlatformProgram::PlatformProgram(asio::io_context &loop, Control &control, const Json &options)
    : loop(loop), sendsLastModified(options.value("last_modified", true)),
      server(loop, options.value("listen", "127.0.0.1:0"),
             [this](const Connection &connection, const HttpRequest &request) {
                 this->handle(connection, request);
             })
{
    control.on("publish", [this](const Json &command) { return this->publish(command); });
    control.on("publish_raw", [this](const Json &command) { return this->publishRaw(command); });
    control.on("hosts", [this](const Json &command) { return this->setHosts(command); });
    control.on("hosts_lag", [this](const Json &command) -> Json {
        this->hostsLag = std::chrono::milliseconds(command.at("ms").get<std::int64_t>());
        return Json::object();
    });
    control.on("mode", [this](const Json &command) { return this->setMode(command); });
    control.on("counts", [this](const Json &) { return this->counts(); });
}

auto PlatformProgram::publish(const Json &command) -> Json
{
    const std::uint64_t highest = this->history.empty() ? 0 : this->history.rbegin()->first;
    this->revision = highest + 1;
    this->history[this->revision] = { command.at("table").get<std::string>(), std::time(nullptr) };
    this->answerOutdatedWatches();
    return { { "revision", this->revision } };
}

auto PlatformProgram::publishRaw(const Json &command) -> Json
{
    this->revision = command.at("revision").get<std::uint64_t>();
    this->history[this->revision] = { command.at("text").get<std::string>(), std::time(nullptr) };
    this->answerOutdatedWatches();
    return { { "revision", this->revision } };
}

auto PlatformProgram::setHosts(const Json &command) -> Json
{
    Json list = command.at("hosts");
    if (this->hostsLag.count() == 0) {
        this->hosts = std::move(list);
        return Json::object();
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, this->hostsLag);
    timer->async_wait([this, timer, list = std::move(list)](ErrorCode error) {
        if (!error) {
            this->hosts = list;
        }
    });
    return Json::object();
}

auto PlatformProgram::setMode(const Json &command) -> Json
{
    const auto mode = command.at("mode").get<PlatformMode>();
    if (mode == PlatformMode::Unknown) {
        throw std::invalid_argument("unknown mode");
    }
    const auto revision = command.value("revision", std::uint64_t(0));
    if (mode == PlatformMode::Stale && this->history.count(revision) == 0) {
        throw std::invalid_argument("mode stale requires a published revision");
    }
    this->mode = mode;
    this->modeRevision = revision;
    this->answerDelay = std::chrono::milliseconds(command.value("ms", std::int64_t(0)));
    if (mode == PlatformMode::Down) {
        for (const WatchPtr &watch : std::exchange(this->watches, {})) {
            watch->timer.cancel();
            watch->connection->close();
        }
    }
    this->answerOutdatedWatches();
    return Json::object();
}

auto PlatformProgram::counts() const -> Json
{
    return { { "calls", this->calls },
             { "table_reads", this->tableReads },
             { "watches", this->watchReads },
             { "host_reads", this->hostReads } };
}

auto PlatformProgram::handle(const Connection &connection, const HttpRequest &request) -> void
{
    ++this->calls;
    const std::string target(request.target());
    if (this->mode == PlatformMode::Down) {
        connection->close();
        return;
    }
    if (this->mode != PlatformMode::Slow) {
        this->route(connection, target);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, this->answerDelay);
    timer->async_wait([this, timer, connection, target](ErrorCode error) {
        if (!error) {
            this->route(connection, target);
        }
    });
}

auto PlatformProgram::route(const Connection &connection, const std::string &target) -> void
{
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/v1/table") {
        this->readTable(connection, target);
        return;
    }
    if (path == "/v1/hosts") {
        ++this->hostReads;
        connection->answer(this->hostsAnswer());
        return;
    }
    connection->answer(makeAnswer(404, "no such path\n"));
}

auto PlatformProgram::readTable(const Connection &connection, const std::string &target) -> void
{
    const std::uint64_t after = queryNumber(target, "after");
    const auto wait = std::min(
            watchDurationMax,
            std::chrono::milliseconds(static_cast<std::int64_t>(queryNumber(target, "wait"))));
    ++(wait.count() > 0 ? this->watchReads : this->tableReads);
    const bool isCurrent = this->mode != PlatformMode::Garbage && after == this->servedRevision();
    if (isCurrent && wait.count() > 0) {
        this->watchTable(connection, after, wait);
        return;
    }
    connection->answer(this->tableAnswer(after));
}

auto PlatformProgram::watchTable(const Connection &connection, std::uint64_t after,
                                 std::chrono::milliseconds wait) -> void
{
    const auto watch = std::make_shared<Watch>(this->loop, connection, after);
    this->watches.insert(watch);
    connection->onClosed([this, watch] {
        watch->timer.cancel();
        this->watches.erase(watch);
    });
    watch->timer.expires_after(wait);
    watch->timer.async_wait([this, watch](ErrorCode error) {
        if (!error) {
            this->answerWatch(watch);
        }
    });
}

auto PlatformProgram::answerWatch(const WatchPtr &watch) -> void
{
    if (this->watches.erase(watch) > 0) {
        watch->connection->answer(this->tableAnswer(watch->after));
    }
}

/// Answers the watches whose revision is no longer the served one; all of them in `Garbage` mode.
auto PlatformProgram::answerOutdatedWatches() -> void
{
    const auto waiting = this->watches;
    for (const WatchPtr &watch : waiting) {
        if (this->mode == PlatformMode::Garbage || watch->after != this->servedRevision()) {
            watch->timer.cancel();
            this->answerWatch(watch);
        }
    }
}

auto PlatformProgram::tableAnswer(std::uint64_t after) const -> HttpAnswer
{
    if (this->mode == PlatformMode::Garbage) {
        return this->garbageAnswer();
    }
    const std::uint64_t served = this->servedRevision();
    if (served == 0 && after != 0) {
        return makeAnswer(404, "no table has been published yet\n");
    }
    HttpAnswer answer;
    answer.headers = { { "Revision", std::to_string(served) } };
    if (served == after) {
        answer.status = 304;
        return answer;
    }
    answer.headers.emplace_back("Content-Type", "application/toml");
    const auto &published = this->history.at(served);
    if (this->sendsLastModified) {
        answer.headers.emplace_back("Last-Modified", httpDate(published.publishedAt));
    }
    answer.body = published.text;
    return answer;
}

auto PlatformProgram::garbageAnswer() const -> HttpAnswer
{
    HttpAnswer answer = makeAnswer(200, garbageBody);
    const bool hasRevision = this->modeRevision > 0;
    answer.headers = { { "Revision", hasRevision ? std::to_string(this->modeRevision) : "x" } };
    return answer;
}

auto PlatformProgram::hostsAnswer() const -> HttpAnswer
{
    if (this->mode == PlatformMode::Garbage) {
        return this->garbageAnswer();
    }
    HttpAnswer answer = makeAnswer(200, Json({ { "hosts", this->hosts } }).dump());
    answer.headers = { { "Content-Type", "application/json" } };
    return answer;
}

auto PlatformProgram::servedRevision() const -> std::uint64_t
{
    return this->mode == PlatformMode::Stale ? this->modeRevision : this->revision;
}

} // namespace standins
