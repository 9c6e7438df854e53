/// An epoll set of callers' sockets, nested in the epoll set of the event loop.
#include "net/disconnectwatch.h"

#include "net/loop.h"

#include <h2o.h>

#include <sys/epoll.h>

#include <array>
#include <utility>

namespace flamingograde::net {

namespace {

constexpr auto eventsPerTurn = 64;

} // namespace

DisconnectWatch::DisconnectWatch(Loop &loop, Disconnected callback)
    : epollDescriptor(epoll_create1(EPOLL_CLOEXEC)),
      socket(h2o_evloop_socket_create(loop.raw(), this->epollDescriptor,
                                      H2O_SOCKET_FLAG_DONT_READ)),
      disconnected(std::move(callback))
{
    this->socket->data = this;
    h2o_socket_read_start(this->socket, [](h2o_socket_t *self, const char * /*error*/) {
        static_cast<DisconnectWatch *>(self->data)->readAll();
    });
}

DisconnectWatch::~DisconnectWatch()
{
    h2o_socket_read_stop(this->socket);
    h2o_socket_close(this->socket);
}

auto DisconnectWatch::watch(int descriptor, ExchangeId exchange) -> void
{
    epoll_event event {};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = exchange.value();
    if (epoll_ctl(this->epollDescriptor, EPOLL_CTL_MOD, descriptor, &event) != 0) {
        epoll_ctl(this->epollDescriptor, EPOLL_CTL_ADD, descriptor, &event);
    }
}

auto DisconnectWatch::readAll() -> void
{
    std::array<epoll_event, eventsPerTurn> events {};
    const auto count = epoll_wait(this->epollDescriptor, events.data(), eventsPerTurn, 0);
    for (auto index = 0; index < count; ++index) {
        this->disconnected(ExchangeId(events[static_cast<std::size_t>(index)].data.u64));
    }
}

} // namespace flamingograde::net
