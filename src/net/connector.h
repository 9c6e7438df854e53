/// Outgoing TCP connections.
#pragma once

#include "net/timer.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>

#include <functional>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Loop;

/// Opens one TCP connection from a given source IP address.
/// @remarks Not thread safe. Destruction cancels a pending connect without calling `done`.
class Connector
{
public:
    /// Receives ownership of the connected socket, or null and the `errno` value of the failure.
    using Done = std::function<void(st_h2o_socket_t *, int error)>;

    /// Starts to connect. `callback` is called once, never from within the constructor.
    /// @param source IP address to bind; if invalid, the system chooses one.
    Connector(Loop &loop, Address source, Address target, Duration timeout, Done callback);
    ~Connector();
    Connector(const Connector &) = delete;
    auto operator=(const Connector &) -> Connector & = delete;

private:
    auto fail(int error) -> void;
    auto connected() -> void;
    auto close() -> void;

    st_h2o_socket_t *socket = nullptr;
    Done done;
    Timer timer;
};

} // namespace flamingograde::net
