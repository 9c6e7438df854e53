/// Whether an answer is the whole answer to its own request.
#pragma once

#include <string>

namespace standins {

/// What is wrong with an answer.
enum class AnswerFault {
    None,
    Incomplete,   ///< Its length or its hash of the request's body is wrong.
    Crossed,      ///< It answers another request.
    Misdelivered, ///< It comes from another service.
};

/// What an upstream's answer must echo.
struct ExpectedAnswer
{
    std::string key; ///< Empty: not checked.
    std::string path;
    std::string bodyHash;
    std::string service; ///< Empty: not checked.
};

/// An upstream's answer and what is wrong with it.
struct CheckedAnswer
{
    AnswerFault fault = AnswerFault::Incomplete;
    std::string upstream;
    std::string service;
};

/// Compares the answer's body with what is expected.
[[nodiscard]] auto checkAnswer(const std::string &body, const ExpectedAnswer &expected)
        -> CheckedAnswer;

} // namespace standins
