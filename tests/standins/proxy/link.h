/// A listening address and where its connections go.
#pragma once

#include "standins/common/asio.h"
#include "standins/proxy/traffic.h"

#include <memory>
#include <string>
#include <vector>

namespace standins {

class Listener;

/// One link of the proxy.
struct Link
{
    std::string name;
    std::vector<Tcp::endpoint> targets; ///< Each connection goes to a random one.
    Traffic traffic;
    std::unique_ptr<Listener> listener;

    Link();
    ~Link();
    Link(const Link &) = delete;
    auto operator=(const Link &) -> Link & = delete;
};

} // namespace standins
