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
    ++this->requestsSent;
    this->timer.expires_after(timeout);
    this->timer.async_wait(
            [self = this->shared_from_this(), number = this->requestsSent](ErrorCode error) {
                if (!error && number == self->requestsSent && self->handler) {
                    self->timedOut = true;
                    self->complete(asio::error::timed_out);
                }
            });
    if (this->socket.is_open()) {
        this->writeRequest();
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
                   [self = this->shared_from_this(), error] { self->complete(error); });
        return;
    }
    this->socket.async_connect(this->target, [self = this->shared_from_this()](ErrorCode failed) {
        if (failed) {
            self->complete(failed);
            return;
        }
        ErrorCode ignored;
        self->socket.set_option(Tcp::no_delay(true), ignored);
        self->writeRequest();
    });
}

auto ClientConnection::writeRequest() -> void
{
    // The peer may answer before the whole request is sent, so a write error is ignored and the
    // outcome depends on the read alone.
    this->writing = true;
    asio::async_write(
            this->socket, asio::buffer(this->request),
            [self = this->shared_from_this()](ErrorCode, std::size_t) { self->writing = false; });
    this->readResponse();
}

auto ClientConnection::readResponse() -> void
{
    this->parser.emplace();
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self = this->shared_from_this()](ErrorCode error, std::size_t) {
                         self->complete(error);
                     });
}

auto ClientConnection::complete(ErrorCode error) -> void
{
    if (!this->handler) {
        return;
    }
    this->timer.cancel();
    this->lastCompletion = std::chrono::steady_clock::now();
    AttemptResult result = this->makeResult(error);
    if (error || !this->keepAlive) {
        ErrorCode ignored;
        this->keepAlive = false;
        this->socket.close(ignored);
    }
    std::exchange(this->handler, nullptr)(std::move(result));
}

auto ClientConnection::makeResult(ErrorCode error) -> AttemptResult
{
    AttemptResult result;
    result.error = error;
    result.timedOut = this->timedOut;
    if (!error) {
        HttpResponse response = this->parser->release();
        this->keepAlive = response.keep_alive() && !this->writing;
        result.head = AnswerHead::fromResponse(response);
        result.body = std::move(response.body());
        return result;
    }
    const bool nothingRead = !this->parser || !this->parser->got_some();
    result.staleConnection = !this->timedOut && this->requestsSent > 1 && nothingRead;
    return result;
}

} // namespace standins
