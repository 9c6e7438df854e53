/// Parsing and building of response heads.
#include "net/answerhead.h"

#include "net/headernames.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

namespace flamingograde::net {

namespace {

using namespace std::string_view_literals;

constexpr auto statusUnavailable = 503;
constexpr auto eventStream = "text/event-stream"sv;

/// Headers that are not forwarded: hop-by-hop headers and those that this host sets itself.
constexpr std::array unforwardedHeaders { "connection"sv, "keep-alive"sv, "proxy-authenticate"sv,
                                          "te"sv,         "trailer"sv,    "transfer-encoding"sv,
                                          "upgrade"sv,    "date"sv,       "server"sv };

auto startsWith(std::string_view text, std::string_view start) -> bool
{
    return text.substr(0, start.size()) == start;
}

/// Parses a number of whole seconds; returns 0 if the text does not start with a valid one.
auto readSeconds(std::string_view text) -> Duration
{
    std::uint32_t seconds = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return read.ec == std::errc() ? std::chrono::seconds(seconds) : Duration(0);
}

auto readVerdict(std::string_view text) -> Verdict
{
    if (text == toString(Verdict::NotRun)) {
        return Verdict::NotRun;
    }
    return text == toString(Verdict::Run) ? Verdict::Run : Verdict::Unknown;
}

auto isForwarded(const HttpHead::Header &header, AnswerSource source) -> bool
{
    const auto &[name, value] = header;
    if (std::find(unforwardedHeaders.begin(), unforwardedHeaders.end(), name)
        != unforwardedHeaders.end()) {
        return false;
    }
    if (name == "set-cookie" && startsWith(value, headers::tokenCookie)) {
        return source == AnswerSource::Home; // Only the home host knows which upstream answered.
    }
    return source == AnswerSource::Home || !startsWith(name, headers::headerPrefix);
}

auto isShed(const HttpHead &head) -> bool
{
    return head.status == statusUnavailable && !head.header(headers::retryAfter).empty();
}

} // namespace

auto readAnswerHead(const HttpHead &head, AnswerSource source) -> AnswerHead
{
    AnswerHead result;
    result.status = head.status;
    result.retryAfter = readSeconds(head.header(headers::retryAfter));
    const auto reason = head.header(headers::reason);
    if (source == AnswerSource::Home && !reason.empty()) {
        result.refusal = true;
        result.reason = refusalReasonOf(reason);
        result.verdict = readVerdict(head.header(headers::verdict));
        return result;
    }
    result.shed = source == AnswerSource::Upstream && isShed(head);
    return result;
}

auto isEventStream(const HttpHead &head) -> bool
{
    return startsWith(head.header("content-type"), eventStream);
}

auto forwardedHead(const HttpHead &head, AnswerSource source, const std::string &setToken)
        -> HttpHead
{
    HttpHead result;
    result.status = head.status;
    result.contentLength = head.contentLength;
    std::copy_if(head.headers.begin(), head.headers.end(), std::back_inserter(result.headers),
                 [source](const auto &header) { return isForwarded(header, source); });
    if (source == AnswerSource::Upstream) {
        const auto verdict = isShed(head) ? Verdict::NotRun : Verdict::Run;
        result.headers.emplace_back(headers::verdict, toString(verdict));
    }
    if (!setToken.empty()) {
        result.headers.emplace_back("set-cookie",
                                    std::string(headers::tokenCookie) + setToken + "; Path=/");
    }
    return result;
}

auto refusalHead(const Refusal &refusal) -> HttpHead
{
    HttpHead head;
    head.status = httpStatus(refusal.reason);
    head.headers = { { "content-type", "application/json" },
                     { std::string(headers::reason), std::string(toString(refusal.reason)) },
                     { std::string(headers::verdict), std::string(toString(refusal.verdict)) } };
    if (refusal.retryAfter > Duration(0)) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        head.headers.emplace_back(headers::retryAfter, std::to_string(seconds));
    }
    return head;
}

auto refusalBody(const Refusal &refusal) -> std::string
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter);
    const nlohmann::json body { { "reason", toString(refusal.reason) },
                                { "verdict", toString(refusal.verdict) },
                                { "retry_after_ms", wait.count() } };
    return body.dump() + "\n";
}

} // namespace flamingograde::net
