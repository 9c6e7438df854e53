/// A listening TCP socket.
#pragma once

#include "net/timer.h"

#include <flamingograde/address.h>

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Loop;

/// Accepts connections on one address and passes them to a callback.
/// @remarks Not thread safe. Stops listening when destroyed.
class Listener
{
public:
    using Accepted = std::function<void(st_h2o_socket_t *)>;

    /// Binds and listens; connections wait in the kernel backlog until `start`.
    /// @param address address to bind; port 0 selects any free port.
    /// @param accepted called with each new connection, of which it takes ownership.
    /// @returns the listener, or an error message.
    [[nodiscard]] static auto bind(Loop &loop, Address address, Accepted accepted)
            -> tl::expected<std::unique_ptr<Listener>, std::string>;

    /// Does the same as `bind`, then calls `start`.
    [[nodiscard]] static auto open(Loop &loop, Address address, Accepted accepted)
            -> tl::expected<std::unique_ptr<Listener>, std::string>;

    ~Listener();
    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;

    /// Starts accepting connections. Precondition: called once after `bind`.
    auto start() -> void;

    /// Returns the address that the socket is bound to. Precondition: none.
    [[nodiscard]] auto bound() const -> Address { return this->address; }

private:
    Listener(Loop &owner, st_h2o_socket_t *listening, Address boundTo, Accepted callback);
    auto acceptAll() -> void;

    Loop &loop;
    st_h2o_socket_t *socket;
    Address address;
    Accepted accepted;
    Timer acceptRetry; ///< Resumes accepting after the process ran out of descriptors.
};

} // namespace flamingograde::net
