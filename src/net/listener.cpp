/// Implements the listening TCP socket.
#include "net/listener.h"

#include "net/loop.h"
#include "net/socketaddress.h"

#include <h2o.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

namespace flamingograde::net {

namespace {

constexpr auto backlog = 4096; ///< Connections waiting to be accepted.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(100); ///< Delay after EMFILE or ENFILE.
constexpr auto acceptsPerTurn = 64; ///< Keeps a burst from starving open connections.

/// Returns a listening descriptor, or -1 with `errno` set.
auto openListening(Address address) -> int
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto name = toSockaddr(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0
        || listen(fd, backlog) != 0) {
        const auto error = errno;
        close(fd);
        errno = error;
        return -1;
    }
    return fd;
}

} // namespace

auto Listener::open(Loop &loop, Address address, Accepted accepted)
        -> tl::expected<std::unique_ptr<Listener>, std::string>
{
    auto bound = Listener::bind(loop, address, std::move(accepted));
    if (bound) {
        (*bound)->start();
    }
    return bound;
}

auto Listener::bind(Loop &loop, Address address, Accepted accepted)
        -> tl::expected<std::unique_ptr<Listener>, std::string>
{
    const auto fd = openListening(address);
    if (fd < 0) {
        return tl::unexpected("cannot listen on " + address.toString() + ": "
                              + std::strerror(errno));
    }
    auto *socket = h2o_evloop_socket_create(loop.raw(), fd, H2O_SOCKET_FLAG_DONT_READ);
    return std::unique_ptr<Listener>(
            new Listener(loop, socket, boundAddress(fd), std::move(accepted)));
}

Listener::Listener(Loop &owner, st_h2o_socket_t *listening, Address boundTo, Accepted callback)
    : loop(owner), socket(listening), address(boundTo), accepted(std::move(callback))
{
    this->socket->data = this;
}

auto Listener::start() -> void
{
    h2o_socket_read_start(this->socket, [](h2o_socket_t *self, const char *error) {
        if (error == nullptr) {
            static_cast<Listener *>(self->data)->acceptAll();
        }
    });
}

Listener::~Listener()
{
    h2o_socket_read_stop(this->socket);
    h2o_socket_close(this->socket);
}

auto Listener::acceptAll() -> void
{
    for (auto count = 0; count < acceptsPerTurn; ++count) {
        errno = 0;
        auto *connection = h2o_evloop_socket_accept(this->socket);
        if (connection != nullptr) {
            this->accepted(connection);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE) {
            h2o_socket_read_stop(this->socket);
            this->acceptRetry = this->loop.after(acceptRetryDelay, [this] { this->start(); });
        }
        return;
    }
}

} // namespace flamingograde::net
