/// Pools of idle connections.
#include "net/httpclient.h"

#include "net/loop.h"
#include "net/socketaddress.h"

#include <h2o.h>

namespace flamingograde::net {

namespace {

constexpr std::uint64_t ioTimeoutMs = 24ULL * 3600 * 1000; ///< Calls have timers of their own.
constexpr std::uint64_t idleTimeoutMs =
        500; ///< Short: one that went silent looks like an idle one.
constexpr std::size_t poolCapacity = 1024;

} // namespace

/// The client context of h2o and its timeout.
struct HttpClient::Context
{
    h2o_timeout_t timeout {};
    h2o_http1client_ctx_t client {};
};

HttpClient::HttpClient(Loop &owner, Address sourceIp)
    : loop(owner), source(sourceIp), shared(std::make_unique<Context>()),
      newConnections(this->makePool())
{
    h2o_timeout_init(this->loop.raw(), &this->shared->timeout, ioTimeoutMs);
    this->shared->client.loop = this->loop.raw();
    this->shared->client.io_timeout = &this->shared->timeout;
}

HttpClient::~HttpClient() = default;

auto HttpClient::context() -> st_h2o_http1client_ctx_t *
{
    return &this->shared->client;
}

auto HttpClient::makePool() const -> Pool
{
    // The broadcast address cannot be connected to: sockets come in only by h2o_socketpool_return.
    auto nowhere = toSockaddr({ INADDR_BROADCAST, 1 });
    Pool pool(new h2o_socketpool_t {}, [](st_h2o_socketpool_t *owned) {
        h2o_socketpool_dispose(owned);
        delete owned;
    });
    h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr *>(&nowhere),
                                   sizeof(nowhere), 0, poolCapacity);
    h2o_socketpool_set_timeout(pool.get(), this->loop.raw(), idleTimeoutMs);
    return pool;
}

auto HttpClient::handOver() -> st_h2o_socketpool_t *
{
    return this->newConnections.get();
}

auto HttpClient::poolOf(Address target) -> st_h2o_socketpool_t *
{
    auto found = this->pools.find(target);
    if (found == this->pools.end()) {
        found = this->pools.emplace(target, this->makePool()).first;
    }
    return found->second.get();
}

} // namespace flamingograde::net
