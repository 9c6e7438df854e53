/// Resource use of a fleet's hosts over an interval.
#pragma once

#include "barefleet.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

/// Mean and maximum over the hosts.
struct Spread
{
    double mean = 0;
    double max = 0;

    [[nodiscard]] auto toJson() const -> nlohmann::json
    {
        return { { "mean", this->mean }, { "max", this->max } };
    }
};

/// Resource use per host over an interval.
struct HostCost
{
    Spread bytesSent;         ///< Bytes per second to other hosts.
    Spread bytesReceived;     ///< Bytes per second from other hosts.
    Spread messagesSent;      ///< Messages per second to other hosts.
    Spread cpuShare;          ///< CPU use as a share of one core.
    Spread residentBytes;     ///< Resident memory at the end of the interval.
    double platformCalls = 0; ///< Platform calls per second by all hosts together.

    [[nodiscard]] auto toJson() const -> nlohmann::json;
};

/// Reads the counters of a fleet at the start and the end of an interval.
/// @remarks Not thread safe. Precondition: the fleet outlives the meter, and no host is replaced
/// during the interval.
class CostMeter
{
public:
    /// Starts the interval.
    explicit CostMeter(BareFleet &fleet);
    /// Returns the cost since construction.
    [[nodiscard]] auto read() -> HostCost;

private:
    [[nodiscard]] auto platformCalls() -> double;

    BareFleet &fleet;
    std::chrono::steady_clock::time_point begin;
    std::map<std::string, nlohmann::json> before;
    double callsBefore = 0;
};
