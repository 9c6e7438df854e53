/// The server's side of one HTTP/1.1 connection.
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

/// Reads requests one after the other, and notices when the peer closes while one is under way.
/// @remarks Not thread safe. Kept alive by its pending read.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    using Ptr = std::shared_ptr<HttpConnection>;
    /// Takes a request; answers it by `answer`, or by `write` and `close`, at any time.
    using Handler = std::function<void(const Ptr &, HttpRequest)>;

    HttpConnection(Tcp::socket socket, std::shared_ptr<const Handler> handler);

    /// Starts to read. Precondition: owned by a shared pointer.
    auto start() -> void;
    /// Calls `handler` once if the peer closes before the request under way is answered.
    auto onClosed(std::function<void()> handler) -> void;
    /// Answers the request under way.
    auto answer(const HttpAnswer &answer) -> void;
    /// Writes raw bytes and calls `done`, unless the connection fails before.
    /// Precondition: no other write is under way.
    auto write(std::shared_ptr<const std::string> bytes, std::function<void()> done) -> void;
    /// Closes in order, whatever has been answered.
    auto close() -> void;
    /// Closes with a reset.
    auto reset() -> void;
    /// Returns the IP number of the other side; empty once it is closed.
    [[nodiscard]] auto peerIp() const -> std::string
    {
        ErrorCode failed;
        const auto peer = this->socket.remote_endpoint(failed);
        return failed ? std::string() : peer.address().to_string();
    }

    /// Returns whether it was not closed by either side.
    [[nodiscard]] auto isOpen() const -> bool { return this->socket.is_open(); }

private:
    auto read() -> void;
    auto take(HttpRequest request) -> void;
    auto finish() -> void;
    auto fail() -> void;

    Tcp::socket socket;
    std::shared_ptr<const Handler> handler;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    std::optional<HttpRequest> pipelined; ///< Read before the one under way was answered.
    std::function<void()> closed;
    bool busy = false;
    bool keepAlive = true;
};

} // namespace standins
