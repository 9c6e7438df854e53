/// The properties of a connection by which faults are matched.
#pragma once

#include "standins/common/asio.h"

#include <string>

namespace standins {

/// The link that a connection uses and the addresses of its two ends.
struct Route
{
    std::string link;
    asio::ip::address source;
    asio::ip::address target;
};

} // namespace standins
