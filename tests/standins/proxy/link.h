/// A listening address of the proxy and the targets of its connections.
#pragma once

#include "standins/common/asio.h"
#include "standins/proxy/traffic.h"

#include <memory>
#include <string>
#include <vector>

namespace standins {

class Listener;

/// A named listener of the proxy, its targets and its traffic counters.
struct Link
{
    std::string name;
    std::vector<Tcp::endpoint> targets; ///< Each connection goes to one of them at random.
    Traffic traffic;
    std::unique_ptr<Listener> listener;

    Link();
    ~Link();
    Link(const Link &) = delete;
    auto operator=(const Link &) -> Link & = delete;
};

} // namespace standins
