/// Outgoing HTTP/1.1: idle connections per target, and the h2o context shared by all calls.
#pragma once

#include <flamingograde/address.h>

#include <memory>
#include <unordered_map>

struct st_h2o_http1client_ctx_t;
struct st_h2o_socketpool_t;

namespace flamingograde::net {

class Loop;

/// Owns the pools of idle connections and h2o's client context.
/// @remarks Not thread safe. Must outlive its calls.
class HttpClient
{
public:
    /// @param sourceIp IP address to bind outgoing connections to; if invalid, the system chooses.
    HttpClient(Loop &owner, Address sourceIp);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    [[nodiscard]] auto eventLoop() const -> Loop & { return this->loop; }
    [[nodiscard]] auto sourceAddress() const -> Address { return this->source; }
    [[nodiscard]] auto context() -> st_h2o_http1client_ctx_t *;

    /// Returns the pool of idle connections to `target`. Precondition: none.
    [[nodiscard]] auto poolOf(Address target) -> st_h2o_socketpool_t *;

    /// Returns the pool that passes a new connection to h2o's client for a call that must not reuse
    /// one. It is empty between calls.
    [[nodiscard]] auto poolForNewConnection() -> st_h2o_socketpool_t *;

private:
    struct Context;
    using Pool = std::unique_ptr<st_h2o_socketpool_t, void (*)(st_h2o_socketpool_t *)>;

    [[nodiscard]] auto makePool() const -> Pool;

    Loop &loop;
    Address source;
    std::unique_ptr<Context> shared;
    Pool newConnectionPool;
    std::unordered_map<Address, Pool> pools;
};

} // namespace flamingograde::net
