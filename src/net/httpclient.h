/// Outgoing HTTP/1.1: connections kept by target, and what all calls share.
#pragma once

#include <flamingograde/address.h>

#include <memory>
#include <unordered_map>

struct st_h2o_http1client_ctx_t;
struct st_h2o_socketpool_t;

namespace flamingograde::net {

class Loop;

/// Keeps idle connections and the client context of h2o.
/// @remarks Not thread safe. Must outlive its calls.
class HttpClient
{
public:
    /// @param sourceIp IP number to bind outgoing connections to; invalid: the system's choice.
    HttpClient(Loop &owner, Address sourceIp);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    [[nodiscard]] auto eventLoop() const -> Loop & { return this->loop; }
    [[nodiscard]] auto sourceAddress() const -> Address { return this->source; }
    [[nodiscard]] auto context() -> st_h2o_http1client_ctx_t *;

    /// Returns the idle connections to `target`. Precondition: none.
    [[nodiscard]] auto poolOf(Address target) -> st_h2o_socketpool_t *;

    /// Returns the pool by which a new connection gets to its call. It is empty between calls.
    [[nodiscard]] auto handOver() -> st_h2o_socketpool_t *;

private:
    struct Context;
    using Pool = std::unique_ptr<st_h2o_socketpool_t, void (*)(st_h2o_socketpool_t *)>;

    [[nodiscard]] auto makePool() const -> Pool;

    Loop &loop;
    Address source;
    std::unique_ptr<Context> shared;
    Pool newConnections;
    std::unordered_map<Address, Pool> pools;
};

} // namespace flamingograde::net
