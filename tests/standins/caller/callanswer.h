/// An answer as a caller reads it.
#pragma once

#include "standins/caller/verdict.h"
#include "standins/common/asio.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>

namespace standins {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// The headers of an answer that a caller acts on.
struct AnswerHead
{
    unsigned status = 0;
    Verdict verdict = Verdict::None;
    std::string reason;                ///< Of a refusal.
    std::optional<double> retryAfterS; ///< When to come back, if at all.
    std::string token;                 ///< Empty where none was set.

    /// Reads them from `response`.
    [[nodiscard]] static auto of(const HttpResponse &response) -> AnswerHead;
    [[nodiscard]] auto isOk() const -> bool { return this->status >= 200 && this->status < 300; }
};

/// What became of one attempt.
struct AttemptResult
{
    ErrorCode error; ///< Of the connection; without one `head` and `body` are set.
    bool timedOut = false;
    bool staleConnection = false; ///< A kept connection that had been closed: not a byte came back.
    AnswerHead head;
    std::string body;
};

} // namespace standins
