/// Pools of idle HTTP connections.
#include "net/httpclient.h"

#include "net/loop.h"
#include "net/socketaddress.h"

#include <h2o.h>

namespace flamingograde::net {

namespace {

/// Practically unlimited, as each call has its own timers.
constexpr std::uint64_t ioTimeoutMs = 24ULL * 3600 * 1000;
/// Short, because a connection whose peer stopped responding cannot be told from an idle one.
constexpr std::uint64_t idleTimeoutMs = 500;
constexpr std::size_t poolCapacity = 1024;

} // namespace

/// h2o's client context and its I/O timeout.
struct HttpClient::Context
{
    h2o_timeout_t timeout {};
    h2o_http1client_ctx_t client {};
};

HttpClient::HttpClient(Loop &owner, Address sourceIp)
    : loop(owner), source(sourceIp), shared(std::make_unique<Context>()),
      newConnectionPool(this->makePool())
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
    // A TCP connect to the broadcast address always fails, so the pool only ever contains sockets
    // that were added by h2o_socketpool_return.
    auto unroutable = toSockaddr({ INADDR_BROADCAST, 1 });
    Pool pool(new h2o_socketpool_t {}, [](st_h2o_socketpool_t *disposed) {
        h2o_socketpool_dispose(disposed);
        delete disposed;
    });
    h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr *>(&unroutable),
                                   sizeof(unroutable), 0, poolCapacity);
    h2o_socketpool_set_timeout(pool.get(), this->loop.raw(), idleTimeoutMs);
    return pool;
}

auto HttpClient::poolForNewConnection() -> st_h2o_socketpool_t *
{
    return this->newConnectionPool.get();
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
