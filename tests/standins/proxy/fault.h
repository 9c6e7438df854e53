/// One injected fault.
#pragma once

#include "standins/common/asio.h"

#include <chrono>
#include <string>
#include <vector>

namespace standins {

/// What a fault does.
enum class FaultKind {
    Unknown,
    Cut,         ///< Resets what is open, refuses what is new.
    Silence,     ///< Nothing passes until the heal.
    SilenceOpen, ///< What is open goes silent for good.
    Delay,       ///< Each way.
    Lose,        ///< Resets what is open, once.
    Slow,        ///< Limits the bytes a second, each way.
};

/// A fault and the connections that it is for: empty lists match any.
struct Fault
{
    FaultKind kind = FaultKind::Unknown;
    std::vector<std::string> from; ///< Sides of the source of the connection.
    std::vector<std::string> to;   ///< Sides of its target.
    std::vector<std::string> links;
    bool bothWays = false; ///< Also for connections from `to` to `from`.
    std::chrono::nanoseconds delay { 0 };
    double bytesPerSecond = 0;

    /// Reads the fields of the command `fault`. @throws std::exception on a wrong one.
    [[nodiscard]] static auto fromJson(const Json &json) -> Fault;
};

} // namespace standins
