/// An HTTP/1.1 and HTTP/2 server on any number of addresses.
#pragma once

#include <flamingograde/address.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct st_h2o_req_t;

namespace flamingograde::net {

class Listener;
class Loop;

/// Receives complete requests and passes each to the handler, with the tag of the address at which
/// it arrived.
/// @remarks Not thread safe. Once it has listened, it must live until the process exits, because
/// its connections refer to it until then.
class HttpServer
{
public:
    /// Receives a request whose body is complete, and the tag of the address at which it arrived.
    using Handler = std::function<void(st_h2o_req_t *, Address tag)>;

    /// @param bodyMax maximum body size in bytes; the server itself answers 413 to larger ones.
    HttpServer(Loop &owner, std::size_t bodyMax, Handler callback);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Listens on `address`; connections wait in the listen backlog until `start`.
    /// @param tag identifies the address to the handler. If the tag is already listening, the call
    /// changes nothing and returns the address bound before.
    /// @returns the bound address, or the reason of the failure.
    [[nodiscard]] auto bind(Address address, Address tag) -> tl::expected<Address, std::string>;

    /// Starts to accept connections on all bound addresses. Precondition: none.
    auto start() -> void;

    /// Listens on `address` and accepts connections: `bind` followed by `start`.
    [[nodiscard]] auto listen(Address address, Address tag) -> tl::expected<Address, std::string>;

    /// Stops accepting connections for `tag`; open ones stay open. Precondition: none.
    auto unlisten(Address tag) -> void;

    /// Closes every connection gracefully, after its current requests. Precondition: none.
    auto shutdown() -> void;

private:
    struct ServerContext;
    struct Endpoint;

    Loop &loop;
    std::size_t bodyMax;
    Handler handler;
    std::unique_ptr<ServerContext> serverContext; ///< Created by the first `start`.
    std::unordered_map<Address, std::unique_ptr<Endpoint>> endpoints;
};

} // namespace flamingograde::net
