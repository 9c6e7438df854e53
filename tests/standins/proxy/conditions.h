/// The network conditions of one proxied connection.
#pragma once

#include <chrono>

namespace standins {

/// The combined effect of all active faults that match a connection.
struct Conditions
{
    bool cut = false;                     ///< Open and new connections are reset.
    bool silent = false;                  ///< Nothing is forwarded until the fault is healed.
    std::chrono::nanoseconds delay { 0 }; ///< Added in each direction.
    double bytesPerSecond = 0;            ///< Limit in each direction; 0: no limit.
};

} // namespace standins
