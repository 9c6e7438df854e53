/// One host among 11,000, whose other hosts are scripted: they answer probes and tell of changes.
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

/// What the host sent to others.
struct SentTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Of the messages' CBOR.
    std::uint64_t dials = 0; ///< Connections asked for.
    std::uint64_t platformReads = 0;
};

/// A `BenchHost` in a fleet at the design size.
/// @remarks Not thread safe.
class BigFleet
{
public:
    static constexpr std::size_t zones = 32;

    /// @param hosts hosts in all.
    /// @param table the table's text.
    BigFleet(std::size_t hosts, std::string table);

    /// Lets time pass: each tick the probes are answered, and each probe period one comes in.
    /// @param changesPerSecond changes of members that others tell of.
    auto pass(Duration time, double changesPerSecond) -> void;

    /// Has the platform fail each read from now on, for all hosts.
    auto losePlatform() -> void { this->platformLost = true; }

    [[nodiscard]] auto host() -> BenchHost & { return this->bench; }
    /// Returns what it sent while it joined the fleet.
    [[nodiscard]] auto joining() const -> const SentTraffic & { return this->joinTraffic; }
    /// Returns what it sent since.
    [[nodiscard]] auto sent() const -> const SentTraffic & { return this->traffic; }

private:
    auto addMembers(std::size_t hosts) -> void;
    auto tick() -> void;
    /// Has a host of the own zone probe this one, and tell of `changes`.
    auto probeFrom(std::vector<Member> changes) -> void;
    /// Returns members that restarted since they were last told of.
    auto drawChanges(double count) -> std::vector<Member>;
    /// Answers a read of the platform.
    auto answerRead(PlatformRead read) -> void;
    /// Returns what other hosts' messages carry.
    [[nodiscard]] auto makeGossip() const -> Gossip;
    auto give(Event event) -> void;
    auto take(const Action &action) -> void;

    BenchHost bench;
    std::vector<Member> members;
    std::vector<HostId> neighbours; ///< Hosts that are connected with this one.
    std::set<HostId> dialled;
    std::vector<Event> answers; ///< To be given at the next tick.
    std::vector<HostId> coming; ///< To be connected at the next tick.
    SentTraffic joinTraffic;
    SentTraffic traffic;
    std::mt19937_64 random { 1 };
    double owedChanges = 0;
    std::uint64_t lastSequence = 0;
    Duration passed { 0 };
    bool platformLost = false;
};

} // namespace flamingograde
