/// Measured outcome of an emulated day.
#pragma once

#include <flamingograde/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingograde::emulator {

/// Request counts by outcome, and the worth earned.
struct Tally
{
    std::uint64_t asked = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    double worth = 0;
    double possibleWorth = 0;

    /// Returns the earned share of the possible worth; 1 if no request was made.
    [[nodiscard]] auto share() const -> double
    {
        return this->possibleWorth > 0 ? this->worth / this->possibleWorth : 1.0;
    }
};

/// Request results, invariant violations and resource use of a day.
struct DayResult
{
    Tally all;
    std::map<std::string, Tally> byKind;
    std::map<std::string, Tally> byZone;
    std::vector<Tally> windows; ///< Totals per window of two seconds.
    std::vector<double> tookMs; ///< Response times of all answered requests.

    std::uint64_t brokenFlows = 0; ///< Open flows of a live upstream reset by a host.
    std::map<std::string, std::uint64_t> brokenBy; ///< `brokenFlows` by the host's reset reason.
    std::uint64_t strayPackets = 0; ///< Packets of open flows that reached a wrong upstream.
    std::uint64_t doubleRuns = 0;   ///< Attempts that were run more than once.
    std::uint64_t wrongService = 0; ///< Flows opened at a service that is not in the row.
    std::uint64_t lateOpenings = 0; ///< Flows opened at a draining upstream after `drainBound`.
    Duration latestOpening { 0 };   ///< Longest time from a drain notice to a new flow.
    std::uint64_t evacuatedOpenings = 0; ///< Flows opened in evacuated zones after `evacuateBound`.
    Duration latestEvacuated { 0 };      ///< Longest time from an evacuation order to a new flow.
    std::uint64_t lateRows = 0;          ///< Checks, ten a second, of a host without rows that were
                                         ///< published `rowsBound` ago.
    std::uint64_t revertedRows = 0;      ///< Times that a process went back to older rows.
    std::uint64_t coldOverruns = 0;      ///< Times that the openings at a cold upstream within a
                                         ///< second exceeded the bound set by `coldExcess`.
    std::uint64_t coldFailures = 0;      ///< Failures of cold upstreams caused by overruns.
    std::uint64_t coldOpenings = 0;      ///< Openings at cold upstreams that have a limit.
    double coldSeconds = 0;              ///< Total cold time of upstreams that have a limit.
    std::uint64_t sheds = 0;

    double storeCalls = 0;
    std::uint64_t storeRefused = 0;
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0;
    std::uint64_t peerBytesBetweenZones = 0;
    std::uint64_t packetBytesBetweenZones = 0;
    double imbalance = 0; ///< Largest deviation of an upstream's runs from its service's mean.
    Duration servingAgain { 0 }; ///< From the last restart of all hosts until half are ready.

    /// Returns the response time in milliseconds at quantile `part`, from 0 to 1.
    [[nodiscard]] auto percentile(double part) const -> double;
};

} // namespace flamingograde::emulator
