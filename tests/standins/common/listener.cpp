#include "standins/common/listener.h"

#include "standins/common/endpoint.h"

#include <chrono>
#include <iostream>
#include <utility>

namespace standins {

namespace {

constexpr auto acceptPause = std::chrono::milliseconds(50); ///< After a failed accept.

} // namespace

Listener::Listener(asio::io_context &loop, const std::string &address, Handler handler)
    : acceptor(loop, parseEndpoint(address)), pause(loop), handler(std::move(handler))
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
            this->acceptLater(error);
            return;
        }
        this->failing = false;
        ErrorCode ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        this->handler(std::move(socket));
        this->accept();
    });
}

auto Listener::acceptLater(const ErrorCode &error) -> void
{
    if (!std::exchange(this->failing, true)) {
        std::cerr << "accept: " << error.message() << std::endl;
    }
    this->pause.expires_after(acceptPause);
    this->pause.async_wait([this](ErrorCode failed) {
        if (!failed) {
            this->accept();
        }
    });
}

} // namespace standins
