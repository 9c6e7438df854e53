/// Reads incoming HTTP requests.
#include "net/incomingrequest.h"

#include "net/headernames.h"

#include <h2o.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>

namespace flamingograde::net {

namespace {

constexpr auto hexBase = 16;
constexpr auto decimalBase = 10;

auto toView(h2o_iovec_t bytes) -> std::string_view
{
    return { bytes.base, bytes.len };
}

auto header(const st_h2o_req_t &request, std::string_view name) -> std::string_view
{
    const auto index = h2o_find_header_by_str(&request.headers, name.data(), name.size(), SIZE_MAX);
    return index == -1 ? std::string_view() : toView(request.headers.entries[index].value);
}

auto header(const st_h2o_req_t &request, const h2o_token_t *name) -> std::string_view
{
    const auto index = h2o_find_header(&request.headers, name, SIZE_MAX);
    return index == -1 ? std::string_view() : toView(request.headers.entries[index].value);
}

auto readNumber(std::string_view text, int base) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number, base);
    if (read.ec != std::errc() || read.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// Parses a duration in milliseconds, limited to one day, which no deadline exceeds.
auto readMilliseconds(std::string_view text) -> std::optional<Duration>
{
    constexpr std::uint64_t longest = 24ULL * 3600 * 1000;
    const auto number = readNumber(text, decimalBase);
    if (!number) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(*number, longest));
}

/// Returns the flow token of a cookie header, or an empty view if it has none.
auto findToken(std::string_view cookies) -> std::string_view
{
    while (!cookies.empty()) {
        const auto end = std::min(cookies.find(';'), cookies.size());
        auto cookie = cookies.substr(0, end);
        cookies.remove_prefix(std::min(end + 1, cookies.size()));
        cookie.remove_prefix(std::min(cookie.find_first_not_of(' '), cookie.size()));
        if (cookie.substr(0, headers::tokenCookie.size()) == headers::tokenCookie) {
            return cookie.substr(headers::tokenCookie.size());
        }
    }
    return {};
}

/// Returns the flow token of the request. HTTP/2 may send each cookie in a separate header.
auto findToken(const st_h2o_req_t &request) -> std::string_view
{
    ssize_t index = -1;
    while ((index = h2o_find_header(&request.headers, H2O_TOKEN_COOKIE, index)) != -1) {
        const auto token = findToken(toView(request.headers.entries[index].value));
        if (!token.empty()) {
            return token;
        }
    }
    return {};
}

} // namespace

auto readRequest(const st_h2o_req_t &request) -> Request
{
    Request result;
    result.method = toView(request.input.method);
    result.path = toView(request.input.path);
    result.contentType = header(request, H2O_TOKEN_CONTENT_TYPE);
    result.accept = header(request, H2O_TOKEN_ACCEPT);
    result.lastEventId = header(request, headers::lastEventId);
    result.body = toView(request.entity);
    return result;
}

auto readCaller(const st_h2o_req_t &request, Address address) -> CallerArrived
{
    CallerArrived event;
    event.address = address;
    event.token = findToken(request);
    event.key = header(request, headers::idempotencyKey);
    event.timeout = readMilliseconds(header(request, headers::timeout)).value_or(Duration(0));
    event.bodyBytes = request.entity.len;
    return event;
}

auto readRelay(const st_h2o_req_t &request) -> std::optional<RelayArrived>
{
    const auto address = Address::parse(header(request, headers::rowAddress));
    const auto remaining = readMilliseconds(header(request, headers::remaining));
    const auto from = header(request, headers::from);
    const auto row = header(request, headers::row);
    const auto upstream = header(request, headers::upstream);
    const auto bound = upstream.empty() ? 0 : readNumber(upstream, hexBase);
    if (!address || !remaining || !bound || from.empty() || row.empty()) {
        return std::nullopt;
    }
    RelayArrived event;
    event.from = HostId::ofName(from);
    event.row = RowId::ofName(row);
    event.address = *address;
    event.upstream = UpstreamId(*bound);
    event.key = header(request, headers::idempotencyKey);
    event.remaining = *remaining;
    event.bodyBytes = request.entity.len;
    return event;
}

} // namespace flamingograde::net
