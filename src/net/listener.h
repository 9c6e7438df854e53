/// A listening socket.
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

/// Takes connections on one address and hands them on.
/// @remarks Not thread safe. Stops listening when destroyed.
class Listener
{
public:
    using Accepted = std::function<void(st_h2o_socket_t *)>;

    /// Binds and listens; connections wait in the system until `start`.
    /// @param address where; port 0 takes any free port.
    /// @param accepted gets each new connection and owns it.
    /// @returns the listener, or why it cannot listen.
    [[nodiscard]] static auto bind(Loop &loop, Address address, Accepted accepted)
            -> tl::expected<std::unique_ptr<Listener>, std::string>;

    /// As `bind`, and starts at once.
    [[nodiscard]] static auto open(Loop &loop, Address address, Accepted accepted)
            -> tl::expected<std::unique_ptr<Listener>, std::string>;

    ~Listener();
    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;

    /// Begins to take connections. Precondition: called once after `bind`.
    auto start() -> void;

    /// Returns the address it is bound to. Precondition: none.
    [[nodiscard]] auto bound() const -> Address { return this->address; }

private:
    Listener(Loop &owner, st_h2o_socket_t *listening, Address boundTo, Accepted callback);
    auto acceptAll() -> void;

    Loop &loop;
    st_h2o_socket_t *socket;
    Address address;
    Accepted accepted;
    Timer resting; ///< Until descriptors may be free again.
};

} // namespace flamingograde::net
