/// The server side of one HTTP/1.1 connection.
#pragma once

#include "standins/common/asio.h"
#include "standins/common/httpanswer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace standins {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Handles the requests of a connection one after the other. Keeps reading while a request is
/// unanswered, in order to detect that the peer closes the connection.
/// @remarks Not thread safe. Kept alive by its pending read.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    using Ptr = std::shared_ptr<HttpConnection>;
    /// Handles a request. Answers it, at once or later, with `answer`, or with `write` and `close`.
    using Handler = std::function<void(const Ptr &, HttpRequest)>;

    HttpConnection(Tcp::socket socket, std::shared_ptr<const Handler> handler);

    /// Starts reading requests. Precondition: owned by a shared pointer.
    auto start() -> void;
    /// Sets a handler that is called once if the connection is closed or fails before the current
    /// request is answered.
    auto onClosed(std::function<void()> handler) -> void;
    /// Answers the current request.
    auto answer(const HttpAnswer &answer) -> void;
    /// Writes raw bytes and then calls `done`, which is not called if the write fails.
    /// Precondition: no other write is pending.
    auto write(std::shared_ptr<const std::string> bytes, std::function<void()> done) -> void;
    /// Shuts down and closes the connection, even if the current request is unanswered.
    auto close() -> void;
    /// Closes the connection with a TCP reset.
    auto reset() -> void;
    /// Returns the IP address of the peer; empty once the socket is closed.
    [[nodiscard]] auto peerIp() const -> std::string
    {
        ErrorCode failed;
        const auto peer = this->socket.remote_endpoint(failed);
        return failed ? std::string() : peer.address().to_string();
    }

    /// Returns whether neither side has closed the connection.
    [[nodiscard]] auto isOpen() const -> bool { return this->socket.is_open(); }

private:
    auto read() -> void;
    auto dispatch(HttpRequest request) -> void;
    auto onAnswerWritten() -> void;
    auto onReadFailed() -> void;

    Tcp::socket socket;
    std::shared_ptr<const Handler> handler;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    std::optional<HttpRequest> pipelined; ///< Received before the current request was answered.
    std::function<void()> closeHandler;
    bool answerPending = false;
    bool keepAlive = true;
};

} // namespace standins
