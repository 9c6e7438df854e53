/// Checks that an answer is complete and belongs to the request it was received for.
#pragma once

#include <string>

namespace standins {

/// The fault found in an answer.
enum class AnswerFault {
    None,
    Incomplete,   ///< The length of the answer or the echoed hash of the request body is wrong.
    WrongRequest, ///< The echoed key or path is that of another request.
    WrongService, ///< The answer comes from an upstream of another service.
};

/// The values that the upstream's answer must echo.
struct ExpectedAnswer
{
    std::string key; ///< Idempotency key; not checked if empty.
    std::string path;
    std::string bodyHash;
    std::string service; ///< Not checked if empty.
};

/// The result of checking an answer, with the upstream and service that the answer names.
struct CheckedAnswer
{
    AnswerFault fault = AnswerFault::Incomplete;
    std::string upstream;
    std::string service;
};

/// Compares the JSON body of an answer with the expected values.
[[nodiscard]] auto checkAnswer(const std::string &body, const ExpectedAnswer &expected)
        -> CheckedAnswer;

} // namespace standins
