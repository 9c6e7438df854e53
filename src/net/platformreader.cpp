/// Reads the platform's table and host list.
#include "net/platformreader.h"

#include "net/loop.h"
#include "net/plainget.h"
#include "wire/hostlist.h"

#include <flamingograde/config.h>

#include <h2o.h>

#include <charconv>
#include <chrono>
#include <ctime>
#include <optional>
#include <utility>

namespace flamingograde::net {

namespace {

constexpr auto statusOk = 200;
constexpr auto statusNotModified = 304;
constexpr std::size_t hostListMax = 1U << 20U;

auto readRevision(std::string_view text) -> std::optional<Revision>
{
    Revision revision;
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, revision.number);
    if (read.ec != std::errc() || read.ptr != end || !revision.isValid()) {
        return std::nullopt;
    }
    return revision;
}

/// Parses an HTTP date (RFC 9110), or returns nothing if it is invalid.
auto readTime(std::string_view text) -> std::optional<WallTime>
{
    std::tm parts {};
    if (text.empty() || h2o_time_parse_rfc1123(text.data(), text.size(), &parts) != 0) {
        return std::nullopt;
    }
    return WallTime(std::chrono::seconds(timegm(&parts)));
}

auto statusText(const HttpHead &head) -> std::string
{
    return "status " + std::to_string(head.status);
}

} // namespace

PlatformReader::PlatformReader(Loop &owner, HttpClient &http, Address platform, Post report)
    : loop(owner), client(http), target(platform), post(std::move(report))
{}

PlatformReader::~PlatformReader() = default;

auto PlatformReader::act(const ReadTable &action) -> void
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(action.wait);
    GetRequest request;
    request.target = this->target;
    request.host = this->target.toString();
    request.path = "/v1/table?after=" + std::to_string(action.after.number)
                   + "&wait=" + std::to_string(wait.count());
    request.timeout = action.wait + config::platformReadMargin;
    request.bodyMax = config::tableBytesMax;
    this->table = std::make_unique<PlainGet>(
            this->client, request,
            [this](const HttpHead *head, const std::string &body) { this->takeTable(head, body); });
}

auto PlatformReader::act(const ReadHosts & /*action*/) -> void
{
    GetRequest request;
    request.target = this->target;
    request.host = this->target.toString();
    request.path = "/v1/hosts";
    request.timeout = config::platformReadMargin;
    request.bodyMax = hostListMax;
    this->hosts = std::make_unique<PlainGet>(
            this->client, request,
            [this](const HttpHead *head, const std::string &body) { this->takeHosts(head, body); });
}

auto PlatformReader::takeTable(const HttpHead *head, const std::string &body) -> void
{
    if (head == nullptr) {
        this->fail(PlatformRead::Table, "no whole answer received from the platform");
        return;
    }
    const auto revision = readRevision(head->header("revision"));
    if (head->status == statusNotModified) {
        this->post(TableUnchanged { revision.value_or(Revision {}) });
        return;
    }
    if (head->status != statusOk) {
        this->fail(PlatformRead::Table, statusText(*head));
        return;
    }
    if (!revision) {
        this->fail(PlatformRead::Table, "the Revision header is missing or no valid number");
        return;
    }
    this->post(TableFetched { *revision, body, readTime(head->header("last-modified")) });
}

auto PlatformReader::takeHosts(const HttpHead *head, const std::string &body) -> void
{
    if (head == nullptr) {
        this->fail(PlatformRead::Hosts, "no whole answer received from the platform");
        return;
    }
    if (head->status != statusOk) {
        this->fail(PlatformRead::Hosts, statusText(*head));
        return;
    }
    auto members = parseHostList(body);
    if (!members) {
        this->fail(PlatformRead::Hosts, members.error());
        return;
    }
    this->post(HostsFetched { std::move(*members) });
}

auto PlatformReader::fail(PlatformRead read, const std::string &why) -> void
{
    this->post(PlatformFailed { read, why });
}

} // namespace flamingograde::net
