/// The parts of an HTTP response that a caller evaluates.
#pragma once

#include "standins/caller/verdict.h"
#include "standins/common/asio.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>

namespace standins {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// The status and headers of an answer that determine what the caller does next.
struct AnswerHead
{
    unsigned status = 0;
    Verdict verdict = Verdict::None;
    std::string reason;                ///< Why the request was refused; empty if not stated.
    std::optional<double> retryAfterS; ///< Seconds to wait before a retry, if stated.
    std::string token;                 ///< Flow token from `Set-Cookie`; empty if none was set.

    /// Extracts the status and the headers from `response`.
    [[nodiscard]] static auto fromResponse(const HttpResponse &response) -> AnswerHead;
    [[nodiscard]] auto isOk() const -> bool { return this->status >= 200 && this->status < 300; }
};

/// The outcome of one attempt to send a request.
struct AttemptResult
{
    ErrorCode error; ///< Connection error; if there is none, `head` and `body` are set.
    bool timedOut = false;
    /// A reused connection failed before any byte of the answer arrived: the peer had closed it.
    bool staleConnection = false;
    AnswerHead head;
    std::string body;
};

} // namespace standins
