#include "standins/common/listener.h"

#include "standins/common/endpoint.h"

#include <chrono>
#include <iostream>
#include <utility>

namespace standins {

namespace {

/// Time between a failed accept and its retry.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

Listener::Listener(asio::io_context &loop, const std::string &address, Handler handler)
    : acceptor(loop, parseEndpoint(address)), retryTimer(loop), handler(std::move(handler))
{
    this->accept();
}

auto Listener::address() const -> std::string
{
    return toString(this->acceptor.local_endpoint());
}

auto Listener::accept() -> void
{
    this->acceptor.async_accept([this](ErrorCode error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            this->acceptAfterDelay(error);
            return;
        }
        this->lastAcceptFailed = false;
        ErrorCode ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        this->handler(std::move(socket));
        this->accept();
    });
}

auto Listener::acceptAfterDelay(const ErrorCode &error) -> void
{
    if (!std::exchange(this->lastAcceptFailed, true)) {
        std::cerr << "accept: " << error.message() << std::endl;
    }
    this->retryTimer.expires_after(acceptRetryDelay);
    this->retryTimer.async_wait([this](ErrorCode failed) {
        if (!failed) {
            this->accept();
        }
    });
}

} // namespace standins
