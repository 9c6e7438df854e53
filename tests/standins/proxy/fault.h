/// A fault injected into the connections of the proxy.
#pragma once

#include "standins/common/asio.h"

#include <chrono>
#include <string>
#include <vector>

namespace standins {

/// The effect of a fault.
enum class FaultKind {
    Unknown,
    Cut,         ///< Resets open connections and refuses new ones.
    Silence,     ///< Forwards nothing until the fault is healed.
    SilenceOpen, ///< Drops all data of open connections, also after the heal.
    Delay,       ///< Delays data in each direction.
    Lose,        ///< Resets the open connections once.
    Slow,        ///< Limits the bytes per second in each direction.
};

/// A fault and the connections that it applies to. An empty list matches all connections.
struct Fault
{
    FaultKind kind = FaultKind::Unknown;
    std::vector<std::string> from; ///< Sides that the source of the connection is on (see `Sides`).
    std::vector<std::string> to;   ///< Sides that its target is on.
    std::vector<std::string> links;
    bool bothWays = false; ///< Also applies to connections from `to` to `from`.
    std::chrono::nanoseconds delay { 0 };
    double bytesPerSecond = 0;

    /// Parses the fields of the command `fault`. @throws std::exception for an invalid field.
    [[nodiscard]] static auto fromJson(const Json &json) -> Fault;
};

} // namespace standins
