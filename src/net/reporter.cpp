/// Reports the daemon's events on standard output.
#include "net/reporter.h"

#include <nlohmann/json.hpp>

#include <array>
#include <iostream>
#include <utility>

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
    Json event { { "event", "ready" }, { "host", host } };
    const std::array<std::pair<const char *, Address>, 5> all { { { "admin", bound.admin },
                                                                  { "peer", bound.peer },
                                                                  { "relay", bound.relay },
                                                                  { "packets", bound.packets },
                                                                  { "ready", bound.ready } } };
    for (const auto &[name, address] : all) {
        if (address.isValid()) {
            event[name] = address.toString();
        }
    }
    write(event);
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
