/// What the hosts of a fleet used in a span of time.
#pragma once

#include "barefleet.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

/// Mean and largest value over the hosts.
struct Spread
{
    double mean = 0;
    double max = 0;

    [[nodiscard]] auto toJson() const -> nlohmann::json
    {
        return { { "mean", this->mean }, { "max", this->max } };
    }
};

/// Rates of use, a host.
struct HostCost
{
    Spread bytesSent;         ///< Bytes a second to other hosts.
    Spread bytesReceived;     ///< Bytes a second from other hosts.
    Spread messagesSent;      ///< Messages a second to other hosts.
    Spread cpuShare;          ///< Share of one core.
    Spread residentBytes;     ///< At the end of the span.
    double platformCalls = 0; ///< Calls a second on the platform by all hosts together.

    [[nodiscard]] auto toJson() const -> nlohmann::json;
};

/// Reads the counters of a fleet at the begin and the end of a span.
/// @remarks Not thread safe. Precondition: the fleet outlives it; no host changes in between.
class CostMeter
{
public:
    /// Begins the span.
    explicit CostMeter(BareFleet &fleet);
    /// Returns the rates since the begin.
    [[nodiscard]] auto read() -> HostCost;

private:
    [[nodiscard]] auto platformCalls() -> double;

    BareFleet &fleet;
    std::chrono::steady_clock::time_point begin;
    std::map<std::string, nlohmann::json> before;
    double callsBefore = 0;
};
