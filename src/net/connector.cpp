/// Non-blocking connect with a bound source address.
#include "net/connector.h"

#include "net/loop.h"
#include "net/socketaddress.h"

#include <h2o.h>

#include <netinet/tcp.h>

#include <cerrno>
#include <utility>

namespace flamingograde::net {

namespace {

auto bindSource(int fd, Address source) -> bool
{
    if (!source.isValid()) {
        return true;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    const auto name = toSockaddr({ source.ip, 0 });
    return bind(fd, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0;
}

/// Starts a non-blocking connect; returns its descriptor, or -1 with `errno` set.
auto startConnecting(Address source, Address target) -> int
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto name = toSockaddr(target);
    const auto started =
            bindSource(fd, source)
            && (connect(fd, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0
                || errno == EINPROGRESS);
    if (!started) {
        const auto error = errno;
        ::close(fd);
        errno = error;
        return -1;
    }
    return fd;
}

auto pendingError(int fd) -> int
{
    int error = 0;
    socklen_t length = sizeof(error);
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0 ? error : errno;
}

} // namespace

Connector::Connector(Loop &loop, Address source, Address target, Duration timeout, Done callback)
    : done(std::move(callback))
{
    const auto fd = startConnecting(source, target);
    if (fd < 0) {
        const auto error = errno;
        this->timer = loop.after(Duration(0), [this, error] { this->fail(error); });
        return;
    }
    this->socket = h2o_evloop_socket_create(loop.raw(), fd, 0);
    this->socket->data = this;
    this->timer = loop.after(timeout, [this] { this->fail(ETIMEDOUT); });
    h2o_socket_notify_write(this->socket, [](h2o_socket_t *self, const char * /*error*/) {
        static_cast<Connector *>(self->data)->connected();
    });
}

Connector::~Connector()
{
    this->close();
}

auto Connector::close() -> void
{
    if (this->socket != nullptr) {
        h2o_socket_close(std::exchange(this->socket, nullptr));
    }
}

auto Connector::fail(int error) -> void
{
    this->timer.cancel();
    this->close();
    const auto callback = std::move(this->done);
    callback(nullptr, error);
}

auto Connector::connected() -> void
{
    const auto error = pendingError(h2o_socket_get_fd(this->socket));
    if (error != 0) {
        this->fail(error);
        return;
    }
    this->timer.cancel();
    const auto callback = std::move(this->done);
    callback(std::exchange(this->socket, nullptr), 0);
}

} // namespace flamingograde::net
