#include "standins/caller/callanswer.h"

#include <cstdlib>

namespace standins {

namespace {

const std::string tokenCookiePrefix = "flamingograde=";

auto parseToken(const HttpResponse &response) -> std::string
{
    const auto cookies = response.equal_range(boost::beast::http::field::set_cookie);
    for (auto cookie = cookies.first; cookie != cookies.second; ++cookie) {
        const std::string text(cookie->value());
        if (text.compare(0, tokenCookiePrefix.size(), tokenCookiePrefix) == 0) {
            const auto end = text.find(';');
            return text.substr(tokenCookiePrefix.size(),
                               end == std::string::npos ? end : end - tokenCookiePrefix.size());
        }
    }
    return {};
}

auto parseRetryAfter(const HttpResponse &response) -> std::optional<double>
{
    const std::string text(response[boost::beast::http::field::retry_after]);
    if (text.empty()) {
        return std::nullopt;
    }
    return std::strtod(text.c_str(), nullptr);
}

} // namespace

auto AnswerHead::fromResponse(const HttpResponse &response) -> AnswerHead
{
    AnswerHead head;
    head.status = response.result_int();
    head.verdict = parseVerdict(std::string(response["Flamingograde-Verdict"]));
    head.reason = std::string(response["Flamingograde-Reason"]);
    head.retryAfterS = parseRetryAfter(response);
    head.token = parseToken(response);
    return head;
}

} // namespace standins
