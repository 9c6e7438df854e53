/// The client side of an HTTP/1.1 connection.
#pragma once

#include "standins/caller/callanswer.h"
#include "standins/common/asio.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace standins {

/// Sends requests one at a time over one connection and reads their answers.
/// @remarks Not thread safe. Pending asynchronous operations keep the object alive.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Ptr = std::shared_ptr<ClientConnection>;
    using TimePoint = std::chrono::steady_clock::time_point;
    using Handler = std::function<void(AttemptResult)>;

    /// @param source the local IP address to connect from; chosen by the system if empty.
    ClientConnection(asio::io_context &loop, Tcp::endpoint target,
                     std::optional<asio::ip::address> source);

    /// Sends `request`, connecting first if necessary, and calls `handler` once with the outcome.
    /// Precondition: no other request is in progress.
    /// @param timeout the time from this call until the complete answer must have arrived.
    auto send(std::string request, std::chrono::nanoseconds timeout, Handler handler) -> void;
    /// Returns whether another request can be sent: the last answer allows it, the connection is
    /// open, not known to be closed by the peer, and has no unread bytes.
    [[nodiscard]] auto isReusable() -> bool;
    /// Returns the number of requests sent on this connection.
    [[nodiscard]] auto requestCount() const -> unsigned { return this->requestsSent; }
    /// Returns when the last request ended, by an answer or a failure.
    [[nodiscard]] auto idleSince() const -> TimePoint { return this->lastCompletion; }

private:
    auto connect() -> void;
    auto writeRequest() -> void;
    auto readResponse() -> void;
    auto complete(ErrorCode error) -> void;
    [[nodiscard]] auto makeResult(ErrorCode error) -> AttemptResult;

    Tcp::socket socket;
    asio::steady_timer timer;
    Tcp::endpoint target;
    std::optional<asio::ip::address> source;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    std::string request;
    Handler handler;
    unsigned requestsSent = 0;
    bool writing = false;
    bool keepAlive = false;
    bool timedOut = false;
    TimePoint lastCompletion;
};

} // namespace standins
