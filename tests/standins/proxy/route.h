/// A connection as faults see it.
#pragma once

#include "standins/common/asio.h"

#include <string>

namespace standins {

/// Between which ends a connection runs, and over which link.
struct Route
{
    std::string link;
    asio::ip::address source;
    asio::ip::address target;
};

} // namespace standins
