/// What faults do to one proxied connection.
#pragma once

#include <chrono>

namespace standins {

/// The joint effect of all faults that match a connection.
struct Conditions
{
    bool cut = false;                     ///< New connections are reset.
    bool silent = false;                  ///< Nothing passes until the heal.
    std::chrono::nanoseconds delay { 0 }; ///< Each way.
    double bytesPerSecond = 0;            ///< Each way; 0: no limit.
};

} // namespace standins
