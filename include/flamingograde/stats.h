/// Counters and gauges of the library.
#pragma once

#include <flamingograde/latencyhistogram.h>
#include <flamingograde/servicestats.h>

#include <array>
#include <cstdint>
#include <vector>

namespace flamingograde {

/// Counters since the start of the process; members that are gauges are marked so.
struct Stats
{
    static constexpr std::size_t reasons = 17;       ///< Number of `RefusalReason`s.
    static constexpr std::size_t packetReasons = 14; ///< Number of `PacketReason`s.

    std::uint64_t callersArrived = 0; ///< Requests, feeds and uploads from callers.
    std::uint64_t relaysArrived = 0;  ///< Requests relayed to this host.
    std::uint64_t dispatched = 0;     ///< Requests sent to an upstream.
    std::uint64_t relayed = 0;        ///< Requests sent to a home host.
    std::uint64_t answered = 0;       ///< Complete answers forwarded.
    std::uint64_t cut = 0;            ///< Answers that broke off.
    std::uint64_t retried = 0;        ///< Requests placed again, as they provably did not run.
    std::uint64_t cancelled = 0;      ///< Requests whose caller left or whose deadline passed.
    std::uint64_t replayed = 0;       ///< Stored answers sent for a repeated key.
    std::uint64_t feedsReopened = 0;  ///< Feeds reopened at their upstream.
    std::uint64_t feedsEnded = 0;     ///< Feeds ended by a stop, to be reopened at another host.
    std::array<std::uint64_t, reasons> refused {}; ///< By `RefusalReason`.
    std::uint64_t tablesAccepted = 0;              ///< Tables that came into force.
    std::uint64_t tablesRefused = 0;               ///< Tables refused for their findings.
    std::uint64_t tablesOlder = 0;                 ///< Older tables received.
    std::uint64_t platformReads = 0;               ///< Calls to the platform.
    std::uint64_t platformFailures = 0;            ///< Failed calls to the platform.
    std::uint64_t directoryOverdue = 0;            ///< Reads because no host showed the directory
                                                   ///< to be recent in time.
    std::uint64_t peerMessagesSent = 0;            ///< Messages sent to other hosts.
    std::uint64_t peerMessagesReceived = 0;        ///< Messages received from other hosts.
    std::uint64_t pauses = 0;                      ///< Pauses of the process.
    std::uint64_t tenuresBegun = 0;                ///< Times this host became the home of a cell.
    std::uint64_t ejections = 0;                   ///< Ejections of upstreams.
    std::array<std::uint64_t, packetReasons> packets {}; ///< Packets by `PacketReason`.
    LatencyHistogram handshakes; ///< Time from an opening packet to the second packet of its flow.
    LatencyHistogram responses;  ///< Time from a request to the acknowledgement of its answer.
    std::uint64_t openingsUnanswered = 0;  ///< Openings, copies and requests not answered in time.
    std::uint64_t upstreamsSilenced = 0;   ///< Times an upstream became silent.
    std::uint64_t upstreamsHeardAgain = 0; ///< Times a silent upstream answered again.
    std::uint64_t directoryUpdates = 0;    ///< Updates by which the directory changed.
    std::uint64_t directoryFaults = 0;     ///< Directory items that could not be decoded.
    std::uint64_t directoryReadsOld = 0;   ///< Reads of a whole directory that was older.
    std::uint64_t upstreamRestarts = 0;    ///< Restarts of upstreams with the same instance.
    std::uint64_t revision = 0;            ///< Gauge: revision of the table in force.
    std::uint64_t membersAlive = 0;        ///< Gauge: hosts regarded as alive.
    std::uint64_t exchanges = 0;           ///< Gauge: requests in progress.
    std::uint64_t feeds = 0;               ///< Gauge: open feeds.
    std::uint64_t queued = 0;  ///< Gauge: requests queued in the cells of this home host.
    std::uint64_t running = 0; ///< Gauge: requests running in the cells of this home host.
    std::uint64_t keys = 0;    ///< Gauge: remembered keys.
    std::uint64_t directoryRevision = 0; ///< Gauge: revision of the newest directory change.
    std::uint64_t directoryEpoch = 0;    ///< Gauge: the platform's epoch, as far as known.
    std::uint64_t directoryCurrent = 0;  ///< Gauge: 1 if the directory counts as current, else 0.
    std::uint64_t directoryAgeMs = 0;    ///< Gauge: for how long changes may have been missing, in
                                         ///< ms; 0 before this is known.
    std::uint64_t rowsVersion = 0;       ///< Gauge: the operators' version number of the rows.
    std::uint64_t upstreams = 0;         ///< Gauge: upstreams in the directory.
    std::uint64_t upstreamsSilent = 0;   ///< Gauge: silent upstreams.
    std::uint64_t flows = 0;             ///< Gauge: tracked packet flows.
    std::uint64_t upstreamsLimited = 0;  ///< Gauge: upstreams with a cold limit in effect.
    std::vector<ServiceStats> services;  ///< Services that callers' packets asked for.
    std::uint64_t zonesEvacuated = 0;    ///< Gauge: evacuated availability zones.
};

} // namespace flamingograde
