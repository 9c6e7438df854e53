/// Obtains the newest table from the platform and from other hosts.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/event.h>
#include <flamingograde/finding.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>

#include <cstdint>
#include <string>

namespace flamingograde {

class Blackboard;
struct TableSource;

/// Reads and watches the platform, exchanges tables with other hosts and puts them in force.
///
/// `config::readersPerZone` hosts of a zone read the platform; the others learn of a new revision
/// by gossip and request its table from the host that has it. The revision in force never falls.
/// @remarks Not thread safe. Throws nothing.
class ConfigController
{
public:
    /// Processes one event. Precondition: `board.now` is the time of the event.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto on(Blackboard &board, const TableFetched &fetched) -> void;
    auto on(Blackboard &board, const TableUnchanged &unchanged) -> void;
    auto on(Blackboard &board, const HostsFetched &fetched) -> void;
    auto on(Blackboard &board, const PlatformFailed &failed) -> void;
    auto on(Blackboard &board, const PeerMessage &received) -> void;
    auto on(Blackboard &board, const Tick &tick) -> void;
    auto handleGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void;
    auto requestTable(Blackboard &board, HostId from) -> void;
    /// Compares `digest`, the hash of another host's or the platform's text of the revision in
    /// force, with the hash of this host's text. Logs a difference once per revision.
    auto compareDigest(Blackboard &board, std::uint64_t digest) -> void;
    /// Compares the digest of the placements of `from` with that of this host. If they are equal
    /// and `from` knows that all hosts agree, records the agreement. Requests the placements of
    /// `from` if the digests differ, or to learn the time of the agreement.
    auto comparePlacements(Blackboard &board, HostId from, const Gossip &gossip) -> void;

    auto considerTable(Blackboard &board, const TableSource &source) -> void;
    auto refuseTable(Blackboard &board, Revision revision, const Findings &findings) -> void;
    auto readPlatform(Blackboard &board) -> void;
    auto readTable(Blackboard &board, Duration wait) -> void;
    auto readHosts(Blackboard &board) -> void;
    auto notePlatformAnswer(Blackboard &board) -> void;
    [[nodiscard]] auto newestKnown(const Blackboard &board) const -> Revision;

    bool started = false;
    bool isTableReadPending = false; ///< A read of the table is in progress.
    bool isHostReadPending = false;  ///< A read of the host list is in progress.
    bool platformLost = false;       ///< Reads fail; cleared by the next answer of the platform.
    MonoTime tableReadDeadline;      ///< Time at which the pending table read counts as failed.
    MonoTime hostReadDeadline;       ///< Time at which the pending host list read counts as failed.
    MonoTime nextTableRead;
    MonoTime nextHostRead;
    Duration backoff { 0 };  ///< Pause before the next table read; doubles without a newer table.
    Revision newestRefused;  ///< Newest revision of a table that was refused for its findings.
    Revision conflictLogged; ///< Last revision that was logged as having two texts.
    Revision olderLogged;    ///< Last revision logged as older than the one in force.
    bool agreementTimeReceived = false; ///< Another host sent the time of the agreement.
    MonoTime nextPlacementRequest;      ///< Earliest time of the next request for placements.
    MonoTime nextTableRequest; ///< Earliest time of the next table request to another host.
};

} // namespace flamingograde
