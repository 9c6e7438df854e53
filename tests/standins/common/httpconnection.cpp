#include "standins/common/httpconnection.h"

#include "standins/common/endpoint.h"

#include <boost/beast/http/read.hpp>

#include <cstdint>
#include <utility>

namespace standins {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t bodyMax = 256U << 20U; ///< Largest accepted request body, in bytes.

} // namespace

HttpConnection::HttpConnection(Tcp::socket socket, std::shared_ptr<const Handler> handler)
    : socket(std::move(socket)), handler(std::move(handler))
{}

auto HttpConnection::start() -> void
{
    this->read();
}

auto HttpConnection::onClosed(std::function<void()> handler) -> void
{
    this->closeHandler = std::move(handler);
}

auto HttpConnection::answer(const HttpAnswer &answer) -> void
{
    this->closeHandler = nullptr;
    auto bytes = std::make_shared<const std::string>(serializeHead(answer) + answer.body);
    this->write(std::move(bytes), [this] { this->onAnswerWritten(); });
}

auto HttpConnection::write(std::shared_ptr<const std::string> bytes, std::function<void()> done)
        -> void
{
    const auto buffer = asio::buffer(*bytes);
    asio::async_write(this->socket, buffer,
                      [self = this->shared_from_this(), bytes = std::move(bytes),
                       done = std::move(done)](ErrorCode error, std::size_t) {
                          if (!error) {
                              done();
                          }
                      });
}

auto HttpConnection::close() -> void
{
    ErrorCode ignored;
    this->closeHandler = nullptr;
    this->socket.shutdown(Tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
}

auto HttpConnection::reset() -> void
{
    this->closeHandler = nullptr;
    resetSocket(this->socket);
}

auto HttpConnection::read() -> void
{
    this->parser.emplace();
    this->parser->body_limit(bodyMax);
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self = this->shared_from_this()](ErrorCode error, std::size_t) {
                         if (error) {
                             self->onReadFailed();
                             return;
                         }
                         HttpRequest request = self->parser->release();
                         if (self->answerPending) {
                             self->pipelined = std::move(request);
                             return;
                         }
                         self->dispatch(std::move(request));
                     });
}

auto HttpConnection::dispatch(HttpRequest request) -> void
{
    this->answerPending = true;
    this->keepAlive = request.keep_alive();
    this->read();
    (*this->handler)(this->shared_from_this(), std::move(request));
}

auto HttpConnection::onAnswerWritten() -> void
{
    this->answerPending = false;
    if (!this->keepAlive) {
        this->close();
        return;
    }
    if (this->pipelined) {
        HttpRequest request = std::move(*this->pipelined);
        this->pipelined.reset();
        this->dispatch(std::move(request));
    }
}

auto HttpConnection::onReadFailed() -> void
{
    ErrorCode ignored;
    this->socket.close(ignored);
    if (const auto handler = std::exchange(this->closeHandler, nullptr)) {
        handler();
    }
}

} // namespace standins
