/// The HTTP admin interface of a host.
#include "net/admin.h"

#include <h2o.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace flamingograde::net {

namespace {

constexpr auto statusOk = 200;
constexpr auto statusAccepted = 202;
constexpr auto statusBadRequest = 400;
constexpr auto statusNotFound = 404;
constexpr auto statusMethodNotAllowed = 405;
constexpr auto statusUnavailable = 503;
constexpr std::string_view json = "application/json";
constexpr std::string_view plain = "text/plain; charset=utf-8";

auto reasonOf(int status) -> const char *
{
    return status < statusBadRequest ? "OK" : "Refused";
}

auto sendResponse(h2o_req_t *request, int status, std::string_view type, std::string_view body)
        -> void
{
    request->res.status = status;
    request->res.reason = reasonOf(status);
    request->res.content_length = body.size();
    h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr,
                   type.data(), type.size());
    const auto copy = h2o_strdup(&request->pool, body.data(), body.size());
    h2o_send_inline(request, copy.base, copy.len);
}

auto hexDigit(char letter) -> int
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto found = digits.find(static_cast<char>(h2o_tolower(letter)));
    return found == std::string_view::npos ? -1 : static_cast<int>(found);
}

auto decodePercent(std::string_view text) -> std::string
{
    constexpr auto hexBase = 16;
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto isEscape = text[index] == '%' && index + 2 < text.size()
                              && hexDigit(text[index + 1]) >= 0 && hexDigit(text[index + 2]) >= 0;
        if (!isEscape) {
            result += text[index];
            continue;
        }
        result +=
                static_cast<char>(hexDigit(text[index + 1]) * hexBase + hexDigit(text[index + 2]));
        index += 2;
    }
    return result;
}

/// Returns the percent-decoded value of the query parameter `name`; empty if it is missing.
auto queryField(std::string_view query, std::string_view name) -> std::string
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto field = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = std::min(field.find('='), field.size());
        if (field.substr(0, equals) == name && equals < field.size()) {
            return decodePercent(field.substr(equals + 1));
        }
    }
    return {};
}

auto handleExplain(h2o_req_t *request, const AdminSource &source, std::string_view query) -> void
{
    const auto address = Address::parse(queryField(query, "address"));
    if (!address) {
        sendResponse(request, statusBadRequest, plain, "address: " + address.error() + "\n");
        return;
    }
    const auto text =
            source.explain(*address, queryField(query, "token"), queryField(query, "key"));
    sendResponse(request, statusOk, json, text);
}

auto handleHealth(h2o_req_t *request, const AdminSource &source) -> void
{
    if (source.isServing()) {
        sendResponse(request, statusOk, json, "{\"status\": \"ok\"}\n");
    } else {
        sendResponse(request, statusUnavailable, json, "{\"status\": \"not serving\"}\n");
    }
}

auto handleDrain(h2o_req_t *request, const AdminSource &source, std::string_view method) -> void
{
    if (method != "POST") {
        sendResponse(request, statusMethodNotAllowed, plain, "method not allowed; use POST\n");
        return;
    }
    source.drain();
    sendResponse(request, statusAccepted, json, "{\"status\": \"stopping\"}\n");
}

} // namespace

auto handleAdminRequest(st_h2o_req_t *request, const AdminSource &source) -> void
{
    const std::string_view target(request->input.path.base, request->input.path.len);
    const std::string_view method(request->input.method.base, request->input.method.len);
    const auto queryMark = std::min(target.find('?'), target.size());
    const auto path = target.substr(0, queryMark);
    const auto query = target.substr(std::min(queryMark + 1, target.size()));
    if (path == "/metrics") {
        sendResponse(request, statusOk, "text/plain; version=0.0.4", source.metrics());
    } else if (path == "/dump") {
        sendResponse(request, statusOk, json, source.dump());
    } else if (path == "/healthz") {
        handleHealth(request, source);
    } else if (path == "/explain") {
        handleExplain(request, source, query);
    } else if (path == "/drain") {
        handleDrain(request, source, method);
    } else {
        sendResponse(request, statusNotFound, plain,
                     "unknown path; available: /metrics, /dump, /healthz, /explain, /drain\n");
    }
}

} // namespace flamingograde::net
