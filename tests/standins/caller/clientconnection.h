/// The caller's side of one HTTP/1.1 connection.
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

/// Sends one request after the other and reads their answers.
/// @remarks Not thread safe. Kept alive by what is pending.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Ptr = std::shared_ptr<ClientConnection>;
    using Time = std::chrono::steady_clock::time_point;
    using Handler = std::function<void(AttemptResult)>;

    /// @param source the IP number to connect from; none: the system's choice.
    ClientConnection(asio::io_context &loop, Tcp::endpoint target,
                     std::optional<asio::ip::address> source);

    /// Sends `request`, connecting first where that is needed, and calls `handler` once with what
    /// became of it. Precondition: no other request is under way.
    /// @param timeout from now to the whole answer.
    auto send(std::string request, std::chrono::nanoseconds timeout, Handler handler) -> void;
    /// Returns whether another request can be sent: open at both ends as far as known.
    [[nodiscard]] auto isReusable() -> bool;
    /// Returns how many requests were sent.
    [[nodiscard]] auto requests() const -> unsigned { return this->sent; }
    /// Returns when the last answer came.
    [[nodiscard]] auto idleSince() const -> Time { return this->lastAnswer; }

private:
    auto connect() -> void;
    auto write() -> void;
    auto read() -> void;
    auto finish(ErrorCode error) -> void;
    [[nodiscard]] auto resultOf(ErrorCode error) -> AttemptResult;

    Tcp::socket socket;
    asio::steady_timer timer;
    Tcp::endpoint target;
    std::optional<asio::ip::address> source;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    std::string request;
    Handler handler;
    unsigned sent = 0;
    bool writing = false;
    bool keepAlive = false;
    bool timedOut = false;
    Time lastAnswer;
};

} // namespace standins
