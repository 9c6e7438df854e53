#include "standins/caller/clientconnection.h"

#include "standins/common/endpoint.h"

#include <boost/beast/http/read.hpp>
#include <sys/socket.h>

#include <cstdint>
#include <limits>
#include <utility>

namespace standins {

namespace http = boost::beast::http;

ClientConnection::ClientConnection(asio::io_context &loop, Tcp::endpoint target,
                                   std::optional<asio::ip::address> source)
    : socket(loop), timer(loop), target(std::move(target)), source(std::move(source))
{}

auto ClientConnection::send(std::string request, std::chrono::nanoseconds timeout, Handler handler)
        -> void
{
    this->request = std::move(request);
    this->handler = std::move(handler);
    this->timedOut = false;
    this->parser.reset();
    ++this->sent;
    this->timer.expires_after(timeout);
    this->timer.async_wait([self = this->shared_from_this(), number = this->sent](ErrorCode error) {
        if (!error && number == self->sent && self->handler) {
            self->timedOut = true;
            self->finish(asio::error::timed_out);
        }
    });
    if (this->socket.is_open()) {
        this->write();
        return;
    }
    this->connect();
}

auto ClientConnection::isReusable() -> bool
{
    if (!this->keepAlive || !this->socket.is_open() || this->buffer.size() > 0) {
        return false;
    }
    char byte = 0;
    const auto size = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto ClientConnection::connect() -> void
{
    ErrorCode error;
    if (this->source) {
        bindSource(this->socket, *this->source, error);
    } else {
        this->socket.open(Tcp::v4(), error);
    }
    if (error) {
        asio::post(this->socket.get_executor(),
                   [self = this->shared_from_this(), error] { self->finish(error); });
        return;
    }
    this->socket.async_connect(this->target, [self = this->shared_from_this()](ErrorCode failed) {
        if (failed) {
            self->finish(failed);
            return;
        }
        ErrorCode ignored;
        self->socket.set_option(Tcp::no_delay(true), ignored);
        self->write();
    });
}

auto ClientConnection::write() -> void
{
    // An answer may come before the whole request went; so the answer alone decides.
    this->writing = true;
    asio::async_write(
            this->socket, asio::buffer(this->request),
            [self = this->shared_from_this()](ErrorCode, std::size_t) { self->writing = false; });
    this->read();
}

auto ClientConnection::read() -> void
{
    this->parser.emplace();
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self = this->shared_from_this()](ErrorCode error, std::size_t) {
                         self->finish(error);
                     });
}

auto ClientConnection::finish(ErrorCode error) -> void
{
    if (!this->handler) {
        return;
    }
    this->timer.cancel();
    this->lastAnswer = std::chrono::steady_clock::now();
    AttemptResult result = this->resultOf(error);
    if (error || !this->keepAlive) {
        ErrorCode ignored;
        this->keepAlive = false;
        this->socket.close(ignored);
    }
    std::exchange(this->handler, nullptr)(std::move(result));
}

auto ClientConnection::resultOf(ErrorCode error) -> AttemptResult
{
    AttemptResult result;
    result.error = error;
    result.timedOut = this->timedOut;
    if (!error) {
        HttpResponse response = this->parser->release();
        this->keepAlive = response.keep_alive() && !this->writing;
        result.head = AnswerHead::of(response);
        result.body = std::move(response.body());
        return result;
    }
    const bool nothingRead = !this->parser || !this->parser->got_some();
    result.staleConnection = !this->timedOut && this->sent > 1 && nothingRead;
    return result;
}

} // namespace standins
