/// Keeps the newest table in force: from the platform, and from other hosts.
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

/// Reads and watches the platform, spreads tables between hosts and puts them in force.
///
/// Few hosts of a zone read the platform; the others hear of a revision by gossip and ask the host
/// that has it. A revision never goes back.
/// @remarks Not thread safe. Throws nothing.
class ConfigController
{
public:
    /// Takes one event. Precondition: `board.now` is the time of it.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto on(Blackboard &board, const TableFetched &fetched) -> void;
    auto on(Blackboard &board, const TableUnchanged &unchanged) -> void;
    auto on(Blackboard &board, const HostsFetched &fetched) -> void;
    auto on(Blackboard &board, const PlatformFailed &failed) -> void;
    auto on(Blackboard &board, const PeerMessage &received) -> void;
    auto on(Blackboard &board, const Tick &tick) -> void;
    auto noteGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void;
    auto requestTable(Blackboard &board, HostId from) -> void;
    /// Logs once that `digest` is that of another text under the revision in force.
    auto compareDigest(Blackboard &board, std::uint64_t digest) -> void;
    auto comparePlacements(Blackboard &board, HostId from, const Gossip &gossip) -> void;

    auto offer(Blackboard &board, const TableSource &source) -> void;
    auto refuseTable(Blackboard &board, Revision revision, const Findings &findings) -> void;
    auto readPlatform(Blackboard &board) -> void;
    auto readTable(Blackboard &board, Duration wait) -> void;
    auto readHosts(Blackboard &board) -> void;
    auto platformAnswered(Blackboard &board) -> void;
    [[nodiscard]] auto newestSeen(const Blackboard &board) const -> Revision;

    bool started = false;
    bool tableAsked = false;   ///< A read of the table is under way.
    bool hostsAsked = false;   ///< A read of the host list is under way.
    bool platformLost = false; ///< The last read failed.
    MonoTime tableGivenUp;     ///< When the read under way counts as failed.
    MonoTime hostsGivenUp;     ///< When the read under way counts as failed.
    MonoTime nextTableRead;
    MonoTime nextHostRead;
    Duration backoff { 0 };        ///< Pause after the next failed or fruitless read of the table.
    Revision refused;              ///< The newest table that had findings.
    Revision conflicting;          ///< The last revision seen with two texts.
    Revision olderLogged;          ///< The last older revision that was logged.
    bool agreementTaken = false;   ///< Another host told since when all agree on the placements.
    MonoTime nextPlacementRequest; ///< Placements are not asked for before this.
    MonoTime nextPeerRequest;      ///< A table asked of a host is waited for until then.
};

} // namespace flamingograde
