/// Outgoing TCP connections.
#pragma once

#include "net/timer.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>

#include <functional>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Loop;

/// Makes one connection from a given source IP number.
/// @remarks Not thread safe. Gives up when destroyed before it is connected.
class Connector
{
public:
    /// Gets the connected socket and owns it; or null and the system's error number.
    using Done = std::function<void(st_h2o_socket_t *, int error)>;

    /// Starts to connect. `done` is called once, never from within the constructor.
    /// @param source IP number to bind; invalid: the system's choice.
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
