/// Delivers signals as events of the event loop.
#include "net/signalwatch.h"

#include "net/loop.h"

#include <h2o.h>

#include <sys/signalfd.h>

#include <csignal>
#include <utility>

namespace flamingograde::net {

namespace {

/// Blocks the handled signals and returns a signalfd that delivers them.
auto openSignals() -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

} // namespace

SignalWatch::SignalWatch(Loop &loop, std::function<void()> onTerminate,
                         std::function<void()> onReload)
    : descriptor(openSignals()),
      socket(h2o_evloop_socket_create(loop.raw(), this->descriptor, H2O_SOCKET_FLAG_DONT_READ)),
      terminate(std::move(onTerminate)), reload(std::move(onReload))
{
    this->socket->data = this;
    h2o_socket_read_start(this->socket, [](h2o_socket_t *self, const char * /*error*/) {
        static_cast<SignalWatch *>(self->data)->readAll();
    });
}

SignalWatch::~SignalWatch()
{
    h2o_socket_read_stop(this->socket);
    h2o_socket_close(this->socket);
}

auto SignalWatch::readAll() -> void
{
    signalfd_siginfo info {};
    while (read(this->descriptor, &info, sizeof(info)) == sizeof(info)) {
        (info.ssi_signo == SIGHUP ? this->reload : this->terminate)();
    }
}

} // namespace flamingograde::net
