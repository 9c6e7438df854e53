/// The listening sockets of the table's rows.
#pragma once

#include "net/timer.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>

#include <set>

namespace flamingograde::net {

class HttpServer;
class Loop;

/// Listens on the addresses of rows and retries those that cannot be bound yet.
/// @remarks Not thread safe.
class RowListeners
{
public:
    /// @param services IP address on whose free ports rows are served; if invalid, each row is
    /// served on its own address.
    RowListeners(Loop &owner, HttpServer &callers, Address services);

    /// Listens for the row at `address`, immediately or as soon as it can be bound. Precondition:
    /// none.
    auto listen(Address address) -> void;

    /// Stops listening for the row. Precondition: none.
    auto unlisten(Address address) -> void;

private:
    auto tryListen(Address address) -> bool;
    auto retry() -> void;

    Loop &loop;
    HttpServer &server;
    Address serviceIp;
    std::set<Address> bound;
    std::set<Address> waiting;
    Timer timer;
};

} // namespace flamingograde::net
