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

/// Takes whole requests and hands each to one handler, with the name of the address it came to.
/// @remarks Not thread safe. Must live until the end of the process once it has listened, as its
/// connections do.
class HttpServer
{
public:
    /// Gets a request whose body is complete, and `tag` of the address that it came to.
    using Handler = std::function<void(st_h2o_req_t *, Address tag)>;

    /// @param bodyMax larger bodies are answered 413 by the server itself.
    HttpServer(Loop &owner, std::size_t bodyMax, Handler callback);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Listens on `address`; connections wait in the system's queue until `start`.
    /// @param tag names the address to the handler; a second call for it has no effect.
    /// @returns the address bound, or why not.
    [[nodiscard]] auto bind(Address address, Address tag) -> tl::expected<Address, std::string>;

    /// Takes connections at all addresses that are bound. Precondition: none.
    auto start() -> void;

    /// Listens on `address` and takes connections. As `bind` and `start`.
    [[nodiscard]] auto listen(Address address, Address tag) -> tl::expected<Address, std::string>;

    /// Takes no more connections for `tag`; open ones go on. Precondition: none.
    auto unlisten(Address tag) -> void;

    /// Tells every connection to end after its requests. Precondition: none.
    auto shutdown() -> void;

private:
    struct Engine;
    struct Entrance;

    Loop &loop;
    std::size_t bodyMax;
    Handler handler;
    std::unique_ptr<Engine> engine; ///< Made by the first `start`.
    std::unordered_map<Address, std::unique_ptr<Entrance>> entrances;
};

} // namespace flamingograde::net
