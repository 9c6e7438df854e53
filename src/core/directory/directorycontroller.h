/// Keeps the directory up to date: from the platform, and from other hosts.
#pragma once

#include "core/directory/standin.h"

#include <flamingograde/action.h>
#include <flamingograde/clock.h>
#include <flamingograde/event.h>
#include <flamingograde/ids.h>

#include <optional>
#include <string>

namespace flamingograde {

class Blackboard;
struct DirectoryChanges;
struct MemberRecord;

/// Reads and watches the platform's directory and spreads its changes between hosts.
///
/// Few hosts watch (see `isDirectoryReader`). They push changes to the hubs of their zone and to
/// one host of each other zone; hubs push them on to the hosts that they feed (`spreadTargets`).
/// Whoever is missed hears of a newer revision by gossip and asks for the changes. A host that
/// hears nothing for too long reads for itself.
/// @remarks Not thread safe. Throws nothing.
class DirectoryController
{
public:
    /// Takes one event. Precondition: `board.now` is the time of it.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto on(Blackboard &board, const DirectoryRead &read) -> void;
    auto on(Blackboard &board, const DirectoryReadFailed &failed) -> void;
    auto on(Blackboard &board, const DirectoryItemsFaulty &faulty) -> void;
    auto on(Blackboard &board, const PeerUp &up) -> void;
    auto on(Blackboard &board, const PeerMessage &received) -> void;
    auto on(Blackboard &board, const Tick &tick) -> void;
    /// Takes another host's word, before it is read: where nobody had heard the platform for long,
    /// this host was cut off, and so were upstreams of its zone, whose leases lapsed.
    auto noteRegained(Blackboard &board) -> void;
    auto noteGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void;
    /// Asks a host that has newer changes for them, unless they may be on their way.
    auto askIfDue(Blackboard &board, const MemberRecord &newer) -> void;
    /// Returns whether a request to `newer` has to wait for this host's first read, which is under
    /// way: with both, the whole directory is transferred twice. Hosts of other zones are asked
    /// only after that read fails, hosts of the own zone also once `config::directoryFirstReadWait`
    /// has passed since the start.
    [[nodiscard]] auto awaitsFirstRead(const Blackboard &board, const MemberRecord &newer) const
            -> bool;

    auto start(Blackboard &board) -> void;
    auto read(Blackboard &board, const ReadDirectory &action) -> void;
    auto readIfDue(Blackboard &board) -> void;
    /// Returns whether to read now; a host with a hub leaves it to that one while it can.
    [[nodiscard]] auto isReadDue(Blackboard &board) -> bool;
    auto adopt(Blackboard &board, const DirectoryUpdate &update, HostId from) -> void;
    auto platformAnswered(Blackboard &board) -> void;
    [[nodiscard]] auto settlingTime(const Blackboard &board) const -> Duration;

    StandIn standIn;
    bool started = false;
    bool asked = false;    ///< A read is under way.
    bool readsAll = false; ///< The changes this host would ask for are no longer kept.
    MonoTime givenUp;      ///< When the read under way counts as failed.
    MonoTime nextRead;
    MonoTime nextRecheck;                ///< A host whose reads fail tries again then.
    MonoTime nextRequest;                ///< Other hosts are not asked before this.
    std::optional<MonoTime> behindSince; ///< Since when a host is known to have newer changes.
    MonoTime lastChange;                 ///< When a read last brought changes.
    MonoTime platformBack;  ///< When the platform was last heard after a failure or a long silence,
                            ///< by a read or by another host's word.
    bool everLost = false;  ///< Whether `platformBack` was ever set.
    std::string lastFaults; ///< What could not be read the last time that anything could not.
    Duration backoff { 0 }; ///< Pause after the next failed read.
};

} // namespace flamingograde
