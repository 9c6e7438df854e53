#include "standins/caller/answercheck.h"

#include "standins/common/asio.h"

namespace standins {

namespace {

auto findFault(const Json &answer, std::size_t length, const ExpectedAnswer &expected)
        -> AnswerFault
{
    if (answer.value("length", std::size_t(0)) != length) {
        return AnswerFault::Incomplete;
    }
    if (!expected.service.empty() && answer.value("service", "") != expected.service) {
        return AnswerFault::WrongService;
    }
    const bool keyDiffers = !expected.key.empty() && answer.value("key", "") != expected.key;
    if (keyDiffers || answer.value("path", "") != expected.path) {
        return AnswerFault::WrongRequest;
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
    return { findFault(answer, body.size(), expected), answer.value("upstream", ""),
             answer.value("service", "") };
}

} // namespace standins
