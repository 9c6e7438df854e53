/// The listening sockets of the table's rows.
#include "net/rowlisteners.h"

#include "net/hostlog.h"
#include "net/httpserver.h"
#include "net/loop.h"
#include "net/reporter.h"

#include <chrono>

namespace flamingograde::net {

namespace {

constexpr auto retryPeriod = std::chrono::milliseconds(500);

} // namespace

RowListeners::RowListeners(Loop &owner, HttpServer &callers, Address services)
    : loop(owner), server(callers), serviceIp(services)
{}

auto RowListeners::listen(Address address) -> void
{
    if (this->bound.count(address) != 0 || this->tryListen(address)) {
        return;
    }
    this->waiting.insert(address);
    this->timer = this->loop.after(retryPeriod, [this] { this->retry(); });
}

auto RowListeners::tryListen(Address address) -> bool
{
    const auto own = this->serviceIp.isValid() ? this->serviceIp : address;
    const auto listening = this->server.listen(own, address);
    if (!listening) {
        writeLog(LogEvent::ListenFailed, "why=\"" + listening.error() + "\"");
        return false;
    }
    this->waiting.erase(address);
    this->bound.insert(address);
    reportListen(address, *listening);
    return true;
}

auto RowListeners::unlisten(Address address) -> void
{
    this->waiting.erase(address);
    if (this->bound.erase(address) != 0) {
        this->server.unlisten(address);
        reportUnlisten(address);
    }
}

auto RowListeners::retry() -> void
{
    const auto unbound = this->waiting;
    for (const auto address : unbound) {
        this->tryListen(address);
    }
    if (!this->waiting.empty()) {
        this->timer = this->loop.after(retryPeriod, [this] { this->retry(); });
    }
}

} // namespace flamingograde::net
