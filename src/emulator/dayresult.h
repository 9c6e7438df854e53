/// What an emulated day came to.
#pragma once

#include <flamingograde/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingograde::emulator {

/// Requests by how they ended.
struct Tally
{
    std::uint64_t asked = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    double worth = 0;
    double owed = 0;

    /// Returns the worth earned of the worth owed; 1 where nothing was owed.
    [[nodiscard]] auto share() const -> double
    {
        return this->owed > 0 ? this->worth / this->owed : 1.0;
    }
};

/// Results and what must not happen.
struct DayResult
{
    Tally all;
    std::map<std::string, Tally> byKind;
    std::map<std::string, Tally> byZone;
    std::vector<Tally> windows; ///< Of two seconds each.
    std::vector<double> tookMs; ///< Of every answered request.

    std::uint64_t brokenFlows = 0; ///< Open flows of a living upstream that a host reset.
    std::map<std::string, std::uint64_t> brokenBy; ///< These by the host's reason.
    std::uint64_t strayPackets = 0;                ///< Packets of an open flow at another upstream.
    std::uint64_t doubleRuns = 0;                  ///< Tries that ran more than once.
    std::uint64_t wrongService = 0; ///< Openings at an upstream of a service that the row lacks.
    std::uint64_t lateOpenings = 0; ///< Openings at a leaving upstream after the bound.
    Duration latestOpening { 0 };   ///< The longest time after the upstream said that it leaves.
    std::uint64_t evacuatedOpenings = 0; ///< Openings in an evacuated zone after the bound.
    Duration latestEvacuated { 0 };      ///< Longest time from an evacuation to an opening.
    std::uint64_t coldOverruns = 0;      ///< Openings at a cold upstream above its bound.
    std::uint64_t coldFailures = 0;      ///< Failures of cold upstreams caused by them.
    std::uint64_t coldOpenings = 0;      ///< Openings at cold upstreams with a bound.
    double coldSeconds = 0;              ///< Time for which upstreams with a bound were cold.
    std::uint64_t sheds = 0;

    double storeCalls = 0;
    std::uint64_t storeRefused = 0;
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0;
    std::uint64_t peerBytesBetweenZones = 0;
    std::uint64_t packetBytesBetweenZones = 0;
    double imbalance = 0; ///< Largest deviation of an upstream's runs from its service's mean.
    Duration servingAgain { 0 }; ///< From the last restart of all hosts until half are ready.

    /// Returns the milliseconds within which a part of the answered requests came, from 0 to 1.
    [[nodiscard]] auto percentile(double part) const -> double;
};

} // namespace flamingograde::emulator
