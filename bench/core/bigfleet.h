/// One host in a large fleet (up to 11,000 hosts). The other hosts are scripted: they answer probes
/// and gossip member changes.
#pragma once

#include "benchhost.h"

#include <flamingograde/message.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flamingograde {

/// Traffic that the host sent, and its reads of the platform.
struct SentTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< CBOR-encoded size of the messages.
    std::uint64_t dials = 0; ///< Requested connections to other hosts.
    std::uint64_t platformReads = 0;
};

/// A `BenchHost` in a simulated fleet.
/// @remarks Not thread safe.
class BigFleet
{
public:
    static constexpr std::size_t zones = 32;

    /// @param hosts number of hosts in the fleet, with the one under test.
    /// @param table the table's text.
    BigFleet(std::size_t hosts, std::string table);

    /// Advances the clock by `time`. Each tick answers the probes that the host sent; each probe
    /// period another host probes it.
    /// @param changesPerSecond rate of the member changes that the incoming probes carry.
    auto runFor(Duration time, double changesPerSecond) -> void;

    /// Makes all platform reads of all hosts fail from now on.
    auto failPlatformReads() -> void { this->platformReadsFail = true; }

    [[nodiscard]] auto host() -> BenchHost & { return this->bench; }
    /// Returns the traffic that the host sent while it joined the fleet.
    [[nodiscard]] auto sentWhileJoining() const -> const SentTraffic & { return this->joinTraffic; }
    /// Returns the traffic that the host sent after it had joined.
    [[nodiscard]] auto sentAfterJoining() const -> const SentTraffic & { return this->traffic; }

private:
    auto addMembers(std::size_t hosts) -> void;
    auto tick() -> void;
    /// Delivers a probe with `changes` from a random connected host. Does nothing while there is
    /// none.
    auto deliverProbe(std::vector<Member> changes) -> void;
    /// Restarts random members, at a mean of `count` per call. @returns them with new incarnations.
    auto drawMemberChanges(double count) -> std::vector<Member>;
    /// Counts a platform read and, while the platform is down, queues its failure.
    auto handlePlatformRead(PlatformRead read) -> void;
    /// Returns the gossip that the messages of the scripted hosts carry.
    [[nodiscard]] auto makeGossip() const -> Gossip;
    auto handleEvent(Event event) -> void;
    auto applyAction(const Action &action) -> void;

    BenchHost bench;
    std::vector<Member> members;
    std::vector<HostId> connectedHosts; ///< Hosts connected to the host under test.
    std::set<HostId> dialled;
    std::vector<Event> pendingEvents;       ///< Events to deliver at the next tick.
    std::vector<HostId> pendingConnections; ///< Hosts whose connection opens at the next tick.
    SentTraffic joinTraffic;
    SentTraffic traffic;
    std::mt19937_64 random { 1 };
    double pendingChanges = 0; ///< Fraction of a change, carried over to the next probe.
    std::uint64_t lastSequence = 0;
    Duration passed { 0 };
    bool platformReadsFail = false;
};

} // namespace flamingograde
