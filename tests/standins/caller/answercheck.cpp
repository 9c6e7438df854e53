#include "standins/caller/answercheck.h"

#include "standins/common/asio.h"

namespace standins {

namespace {

auto faultOf(const Json &answer, std::size_t length, const ExpectedAnswer &expected) -> AnswerFault
{
    if (answer.value("length", std::size_t(0)) != length) {
        return AnswerFault::Incomplete;
    }
    if (!expected.service.empty() && answer.value("service", "") != expected.service) {
        return AnswerFault::Misdelivered;
    }
    const bool otherKey = !expected.key.empty() && answer.value("key", "") != expected.key;
    if (otherKey || answer.value("path", "") != expected.path) {
        return AnswerFault::Crossed;
    }
    return answer.value("body_hash", "") == expected.bodyHash ? AnswerFault::None
                                                              : AnswerFault::Incomplete;
}

} // namespace

auto checkAnswer(const std::string &body, const ExpectedAnswer &expected) -> CheckedAnswer
{
    const Json answer = Json::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return {};
    }
    return { faultOf(answer, body.size(), expected), answer.value("upstream", ""),
             answer.value("service", "") };
}

} // namespace standins
