#include "standins/caller/callanswer.h"

#include <cstdlib>

namespace standins {

namespace {

const std::string tokenStart = "flamingograde=";

auto tokenOf(const HttpResponse &response) -> std::string
{
    const auto cookies = response.equal_range(boost::beast::http::field::set_cookie);
    for (auto cookie = cookies.first; cookie != cookies.second; ++cookie) {
        const std::string text(cookie->value());
        if (text.compare(0, tokenStart.size(), tokenStart) == 0) {
            const auto end = text.find(';');
            return text.substr(tokenStart.size(),
                               end == std::string::npos ? end : end - tokenStart.size());
        }
    }
    return {};
}

auto retryAfterOf(const HttpResponse &response) -> std::optional<double>
{
    const std::string text(response[boost::beast::http::field::retry_after]);
    if (text.empty()) {
        return std::nullopt;
    }
    return std::strtod(text.c_str(), nullptr);
}

} // namespace

auto AnswerHead::of(const HttpResponse &response) -> AnswerHead
{
    AnswerHead head;
    head.status = response.result_int();
    head.verdict = verdictOf(std::string(response["Flamingograde-Verdict"]));
    head.reason = std::string(response["Flamingograde-Reason"]);
    head.retryAfterS = retryAfterOf(response);
    head.token = tokenOf(response);
    return head;
}

} // namespace standins
