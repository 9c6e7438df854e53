/// The daemon's events on standard output.
#include "net/reporter.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace flamingograde::net {

namespace {

using Json = nlohmann::ordered_json;

auto write(const Json &event) -> void
{
    std::cout << event.dump() << std::endl;
}

} // namespace

auto reportReady(const std::string &host, const BoundAddresses &bound) -> void
{
    write({ { "event", "ready" },
            { "host", host },
            { "admin", bound.admin.toString() },
            { "peer", bound.peer.toString() },
            { "relay", bound.relay.toString() } });
}

auto reportListen(Address row, Address bound) -> void
{
    write({ { "event", "listen" }, { "address", row.toString() }, { "bound", bound.toString() } });
}

auto reportUnlisten(Address row) -> void
{
    write({ { "event", "unlisten" }, { "address", row.toString() } });
}

auto reportStopped(const std::string &left) -> void
{
    write({ { "event", "stopped" }, { "left", left } });
}

} // namespace flamingograde::net
