#include "standins/store/storeprogram.h"

#include "standins/common/control.h"

#include <sodium.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace standins {

NLOHMANN_JSON_SERIALIZE_ENUM(StoreMode, { { StoreMode::Unknown, nullptr },
                                          { StoreMode::Up, "up" },
                                          { StoreMode::Busy, "busy" },
                                          { StoreMode::TooManyRequests, "many" },
                                          { StoreMode::Silent, "silent" },
                                          { StoreMode::Reset, "reset" },
                                          { StoreMode::Garbage, "garbage" } })

namespace {

constexpr std::size_t historyMax = 10000;

auto hexValue(char digit) -> int
{
    const std::string digits = "0123456789abcdef";
    const auto found = digits.find(static_cast<char>(std::tolower(digit)));
    return found == std::string::npos ? 0 : static_cast<int>(found);
}

auto decodePercent(const std::string &text) -> std::string
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

/// Returns the decoded query parameter `name`; empty if it is missing.
auto queryParameter(const std::string &target, const std::string &name) -> std::string
{
    for (const char separator : { '?', '&' }) {
        const std::string parameterPrefix = separator + name + "=";
        const auto position = target.find(parameterPrefix);
        if (position != std::string::npos) {
            const auto begin = position + parameterPrefix.size();
            return decodePercent(target.substr(begin, target.find('&', begin) - begin));
        }
    }
    return {};
}

auto parseNumber(const std::string &text) -> std::uint64_t
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

auto toBase64(const std::string &bytes) -> std::string
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.resize(text.find('\0'));
    return text;
}

auto startsWith(const std::string &text, const std::string &prefix) -> bool
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

auto statusAnswer(unsigned status) -> HttpAnswer
{
    HttpAnswer answer;
    answer.status = status;
    return answer;
}

} // namespace

StoreProgram::StoreProgram(asio::io_context &ioContext, Control &control, const Json &options)
    : loop(ioContext), pageSize(options.value("page", std::size_t(50))),
      server(ioContext, options.value("listen", "127.0.0.1:0"),
             [this](const Connection &connection, const HttpRequest &request) {
                 this->handle(connection, request);
             })
{
    control.on("put", [this](const Json &command) { return this->put(command); });
    control.on("remove", [this](const Json &command) { return this->remove(command); });
    control.on("mode", [this](const Json &command) { return this->setMode(command); });
    control.on("slow", [this](const Json &command) -> Json {
        this->answerDelay = Millis(command.at("ms").get<std::int64_t>());
        return Json::object();
    });
    control.on("lose", [this](const Json &command) -> Json {
        this->unansweredShare = command.at("share").get<double>();
        return Json::object();
    });
    control.on("forget", [this](const Json & /*command*/) -> Json {
        this->contents.history.clear();
        this->contents.compactedRevision = this->contents.revision;
        return Json::object();
    });
    control.on("copy", [this](const Json & /*command*/) -> Json {
        this->copied = this->contents;
        return Json::object();
    });
    control.on("restore", [this](const Json & /*command*/) { return this->restore(); });
    control.on("counts", [this](const Json & /*command*/) -> Json {
        return { { "calls", this->callsByPath },
                 { "late", this->staleOkCalls },
                 { "revision", this->contents.revision } };
    });
}

auto StoreProgram::put(const Json &command) -> Json
{
    const auto key = command.at("key").get<std::string>();
    const auto &value = command.at("value");
    auto &item = this->contents.items[key];
    item.value = value.is_string() ? value.get<std::string>() : value.dump();
    item.revision = ++this->contents.revision;
    item.createdRevision = item.createdRevision == 0 ? item.revision : item.createdRevision;
    this->recordChange(key, this->itemJson(key, item));
    return { { "revision", item.revision } };
}

auto StoreProgram::remove(const Json &command) -> Json
{
    const auto key = command.at("key").get<std::string>();
    if (this->contents.items.erase(key) == 0) {
        throw std::invalid_argument("no such key");
    }
    ++this->contents.revision;
    this->recordChange(
            key, { { "key", key }, { "revision", this->contents.revision }, { "removed", true } });
    return { { "revision", this->contents.revision } };
}

auto StoreProgram::recordChange(const std::string &key, Json event) -> void
{
    this->contents.history.push_back({ this->contents.revision, key, std::move(event) });
    if (this->contents.history.size() > historyMax) {
        this->contents.compactedRevision = this->contents.history.front().revision;
        this->contents.history.pop_front();
    }
    const auto waiting = this->watches;
    for (const auto &watch : waiting) {
        if (startsWith(key, watch->prefix)) {
            this->answerWatch(watch);
        }
    }
}

auto StoreProgram::setMode(const Json &command) -> Json
{
    const auto mode = command.at("mode").get<StoreMode>();
    if (mode == StoreMode::Unknown) {
        throw std::invalid_argument("unknown mode");
    }
    const auto host = command.value("host", "");
    this->modesByHost[host] = mode;
    if (host.empty() && mode != StoreMode::Up) {
        this->closeWatches(mode != StoreMode::Silent);
    }
    return Json::object();
}

auto StoreProgram::restore() -> Json
{
    this->contents = this->copied;
    ++this->epoch;
    this->closeWatches(true);
    return { { "revision", this->contents.revision } };
}

auto StoreProgram::closeWatches(bool withConnections) -> void
{
    for (const auto &watch : std::exchange(this->watches, {})) {
        watch->timer->cancel();
        if (withConnections) {
            watch->connection->close();
        }
    }
}

auto StoreProgram::modeOf(const Connection &connection) const -> StoreMode
{
    const auto all = this->modesByHost.find("");
    if (all != this->modesByHost.end() && all->second != StoreMode::Up) {
        return all->second;
    }
    const auto found = this->modesByHost.find(connection->peerIp());
    return found == this->modesByHost.end() ? StoreMode::Up : found->second;
}

auto StoreProgram::handle(const Connection &connection, const HttpRequest &request) -> void
{
    const std::string target(request.target());
    ++this->callsByPath[target.substr(0, target.find('?'))];
    this->staleOkCalls += queryParameter(target, "staleOk") == "1" ? 1 : 0;
    const auto mode = this->modeOf(connection);
    std::uniform_real_distribution<double> draw(0, 1);
    if (mode == StoreMode::Silent || draw(this->random) < this->unansweredShare) {
        return;
    }
    if (mode == StoreMode::Reset) {
        connection->reset();
        return;
    }
    if (mode != StoreMode::Up) {
        auto refused = statusAnswer(mode == StoreMode::Busy ? 503 : 429);
        if (mode == StoreMode::Garbage) {
            refused.status = 200;
            refused.body = "{\"items\": \x01";
        }
        this->send(connection, refused);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, this->answerDelay);
    timer->async_wait([this, timer, connection, target](ErrorCode error) {
        if (!error) {
            this->route(connection, target);
        }
    });
}

auto StoreProgram::route(const Connection &connection, const std::string &target) -> void
{
    const auto path = target.substr(0, target.find('?'));
    if (path == "/-/kv-key") {
        this->readKey(connection, target);
    } else if (path == "/-/kv-range") {
        this->readRange(connection, target);
    } else if (path == "/-/kv-watch") {
        this->watch(connection, target);
    } else {
        this->send(connection, statusAnswer(404));
    }
}

auto StoreProgram::itemJson(const std::string &key, const Item &item) const -> Json
{
    return { { "key", key },
             { "value", toBase64(item.value) },
             { "revision", item.revision },
             { "createdRev", item.createdRevision },
             { "lease", 0 } };
}

auto StoreProgram::answer(const Connection &connection, const Json &body) -> void
{
    HttpAnswer answer;
    answer.headers = { { "Content-Type", "application/json" } };
    answer.body = body.dump();
    this->send(connection, std::move(answer));
}

auto StoreProgram::send(const Connection &connection, HttpAnswer answer) -> void
{
    answer.headers.emplace_back("Store-Era", std::to_string(this->epoch));
    connection->answer(answer);
}

auto StoreProgram::readKey(const Connection &connection, const std::string &target) -> void
{
    const auto key = queryParameter(target, "key");
    const auto found = this->contents.items.find(key);
    if (found == this->contents.items.end()) {
        this->send(connection, statusAnswer(404));
        return;
    }
    auto body = this->itemJson(key, found->second);
    body["currentRev"] = this->contents.revision;
    this->answer(connection, body);
}

auto StoreProgram::readRange(const Connection &connection, const std::string &target) -> void
{
    const auto prefix = queryParameter(target, "prefix");
    const auto after = queryParameter(target, "after");
    auto list = Json::array();
    bool more = false;
    for (const auto &[key, item] : this->contents.items) {
        if (!startsWith(key, prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (list.size() == this->pageSize) {
            more = true;
            break;
        }
        list.push_back(this->itemJson(key, item));
    }
    this->answer(connection, { { "items", std::move(list) },
                               { "morePages", more },
                               { "currentRev", this->contents.revision } });
}

auto StoreProgram::eventsFor(const Watch &watch) const -> Json
{
    auto events = Json::array();
    for (const auto &change : this->contents.history) {
        if (change.revision > watch.after && startsWith(change.key, watch.prefix)) {
            events.push_back(change.event);
        }
    }
    return events;
}

auto StoreProgram::watch(const Connection &connection, const std::string &target) -> void
{
    const auto watch = std::make_shared<Watch>();
    watch->connection = connection;
    watch->prefix = queryParameter(target, "prefix");
    watch->after = parseNumber(queryParameter(target, "after"));
    if (watch->after < this->contents.compactedRevision || watch->after > this->contents.revision) {
        this->send(connection, statusAnswer(410));
        return;
    }
    const Millis wait(static_cast<std::int64_t>(parseNumber(queryParameter(target, "waitMs"))));
    watch->timer = std::make_shared<asio::steady_timer>(this->loop, wait);
    this->watches.push_back(watch);
    if (!this->eventsFor(*watch).empty()) {
        this->answerWatch(watch);
        return;
    }
    watch->timer->async_wait([this, watch](ErrorCode error) {
        if (!error) {
            this->answerWatch(watch);
        }
    });
}

auto StoreProgram::answerWatch(const WatchPtr &watch) -> void
{
    const auto found = std::find(this->watches.begin(), this->watches.end(), watch);
    if (found == this->watches.end()) {
        return;
    }
    this->watches.erase(found);
    watch->timer->cancel();
    this->answer(watch->connection, { { "events", this->eventsFor(*watch) },
                                      { "currentRev", this->contents.revision } });
}

} // namespace standins
