/// Counters of the deciding library.
#pragma once

#include <flamingograde/latencyhistogram.h>

#include <array>
#include <cstdint>

namespace flamingograde {

/// Counters since the start. Gauges are named so.
struct Stats
{
    static constexpr std::size_t reasons = 17;       ///< Number of `RefusalReason`s.
    static constexpr std::size_t packetReasons = 13; ///< Number of `PacketReason`s.

    std::uint64_t callersArrived = 0;              ///< Requests, feeds and uploads from callers.
    std::uint64_t relaysArrived = 0;               ///< Requests relayed to this host.
    std::uint64_t dispatched = 0;                  ///< Sent to an upstream.
    std::uint64_t relayed = 0;                     ///< Sent to a home host.
    std::uint64_t answered = 0;                    ///< Whole answers passed on.
    std::uint64_t cut = 0;                         ///< Answers that broke off.
    std::uint64_t retried = 0;                     ///< Placed again after provably not run.
    std::uint64_t cancelled = 0;                   ///< Callers that left, or deadlines that passed.
    std::uint64_t replayed = 0;                    ///< Answers given again for a repeated key.
    std::uint64_t feedsReopened = 0;               ///< Feeds opened again at their upstream.
    std::uint64_t feedsEnded = 0;                  ///< Feeds moved to another host by a stop.
    std::array<std::uint64_t, reasons> refused {}; ///< By `RefusalReason`.
    std::uint64_t tablesAccepted = 0;              ///< Tables put in force.
    std::uint64_t tablesRefused = 0;               ///< Tables with findings.
    std::uint64_t tablesOlder = 0;                 ///< Older tables offered.
    std::uint64_t platformReads = 0;               ///< Calls on the platform.
    std::uint64_t platformFailures = 0;            ///< Failed calls on the platform.
    std::uint64_t peerMessagesSent = 0;            ///< To other hosts.
    std::uint64_t peerMessagesReceived = 0;        ///< From other hosts.
    std::uint64_t pauses = 0;                      ///< Pauses of the process.
    std::uint64_t tenuresBegun = 0;                ///< Times this host became home of a cell.
    std::uint64_t ejections = 0;                   ///< Upstreams taken out of rotation.
    std::array<std::uint64_t, packetReasons> packets {}; ///< Packets by `PacketReason`.
    LatencyHistogram handshakes; ///< From an opening packet to the second packet of its flow.
    LatencyHistogram responses;  ///< From a request to the caller's acknowledgement of an answer.
    std::uint64_t openingsUnanswered = 0;  ///< Opening packets without a second packet.
    std::uint64_t upstreamsSilenced = 0;   ///< Times an upstream was held to be silent.
    std::uint64_t upstreamsHeardAgain = 0; ///< Times a silent upstream showed life.
    std::uint64_t directoryUpdates = 0;    ///< Updates that changed the directory.
    std::uint64_t directoryFaults = 0;     ///< Items of the directory that could not be read.
    std::uint64_t upstreamRestarts = 0;    ///< Further starts of one instance.
    std::uint64_t revision = 0;            ///< Gauge: the table in force.
    std::uint64_t membersAlive = 0;        ///< Gauge: hosts held to be alive.
    std::uint64_t exchanges = 0;           ///< Gauge: requests under way.
    std::uint64_t feeds = 0;               ///< Gauge: feeds held.
    std::uint64_t queued = 0;              ///< Gauge: requests waiting in homed cells.
    std::uint64_t running = 0;             ///< Gauge: requests running in homed cells.
    std::uint64_t keys = 0;                ///< Gauge: remembered keys.
    std::uint64_t directoryRevision = 0;   ///< Gauge: the directory's newest change.
    std::uint64_t rowsVersion = 0;         ///< Gauge: the operators' number of the rows.
    std::uint64_t upstreams = 0;           ///< Gauge: upstreams in the directory.
    std::uint64_t upstreamsSilent = 0;     ///< Gauge: upstreams held to be silent.
    std::uint64_t flows = 0;               ///< Gauge: packet flows that are watched.
    std::uint64_t upstreamsLimited = 0;    ///< Gauge: upstreams under a cold limit.
    std::uint64_t zonesEvacuated = 0;      ///< Gauge: evacuated availability zones.
};

} // namespace flamingograde
