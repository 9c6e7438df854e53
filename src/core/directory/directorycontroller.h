/// Keeps the directory up to date from the platform and from other hosts.
#pragma once

#include "core/directory/confirmationread.h"
#include "core/directory/directorycall.h"
#include "core/directory/directoryfaults.h"
#include "core/directory/directoryrequester.h"
#include "core/directory/directoryspread.h"
#include "core/directory/fallbackreader.h"
#include "core/directory/readthrottle.h"

#include <flamingograde/action.h>
#include <flamingograde/clock.h>
#include <flamingograde/event.h>
#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;
struct DirectoryChanges;
struct MemberRecord;

/// Reads and watches the platform's directory and spreads its changes between hosts.
///
/// Only a few hosts watch the platform (see `isDirectoryReader`). They push changes to the hubs of
/// their zone and to one host of each other zone; hubs push them on to the hosts that they serve
/// (`forwardTargets`). A host that received no push learns of newer revisions by gossip and
/// requests the changes. After each answer of the platform, watchers also tell up to when their
/// directory has all changes, on the same ways. A host whose own directory is not shown to be
/// recent enough reads the platform itself, whatever other hosts do (see `FallbackReader`).
///
/// A starting host reads the whole directory, in an old copy that costs the platform less, and
/// forwards packets with the pages that it has. If many hosts start together, most of them stop
/// reading (see `ReadThrottle`) and get the directory in pages from those that have it. A host that
/// was started or paused then learns from other hosts, or by a read of the changes, whether its
/// directory is current (see `DirectoryFreshness`).
/// @remarks Not thread safe. Throws nothing.
class DirectoryController
{
public:
    /// Handles one event. Precondition: `board.now` is the time of the event.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto on(Blackboard &board, const DirectoryRead &read) -> void;
    auto on(Blackboard &board, const DirectoryPageRead &read) -> void;
    auto on(Blackboard &board, const DirectoryReadProgress &progress) -> void;
    auto on(Blackboard &board, const DirectoryReadFailed &failed) -> void;
    auto on(Blackboard &board, const PeerUp &up) -> void;
    auto on(Blackboard &board, const PeerMessage &received) -> void;
    auto on(Blackboard &board, const Tick &tick) -> void;
    /// Starts deferring removals if the platform was last heard, by this host or one that it hears
    /// from, more than `config::directoryStale` ago. In that case this host was partitioned, and so
    /// were the upstreams of its zone, whose leases expired. To be called before another host's
    /// message is evaluated.
    auto noteContactRegained(Blackboard &board) -> void;
    auto noteGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void;
    /// Takes what another host says of when its directory had all changes. Precondition: the
    /// message carries gossip.
    auto takeReport(Blackboard &board, const PeerMessage &received) -> void;
    auto answer(Blackboard &board, HostId from, const DirectoryRequest &request) -> void;
    auto takePage(Blackboard &board, HostId from, const DirectoryPage &page) -> void;
    auto takeUpdate(Blackboard &board, HostId from, DirectoryUpdate update) -> void;
    /// Returns whether a revision that another host sent names no epoch and is taken for one of
    /// this host's. Hosts of older versions name none; once the platform was restored, theirs is
    /// unknown.
    [[nodiscard]] auto isUnnamedEpoch(Revision revision) const -> bool;
    /// Returns a revision that another host sent, with this host's epoch if it names none.
    [[nodiscard]] auto withEpoch(const Blackboard &board, Revision revision) const -> Revision;
    /// Adds a part of the whole directory, and offers it to other hosts if it is the first.
    auto applyPart(Blackboard &board, const DirectoryUpdate &page) -> void;
    /// Stops the read of the whole directory if it is too slow for all hosts that read it.
    auto yieldIfDue(Blackboard &board) -> void;

    auto start(Blackboard &board) -> void;
    /// Has the directory confirmed after a pause of the process.
    auto resume(Blackboard &board) -> void;
    /// Tells other hosts up to when the directory has all changes, as this host has learned from
    /// `from`. Logs that the directory was shown to be current, and tells hosts for which it was
    /// not.
    auto noteFreshness(Blackboard &board, HostId from) -> void;
    auto read(Blackboard &board, const ReadDirectory &action) -> void;
    auto readIfDue(Blackboard &board) -> void;
    /// Returns whether to read now: to have the directory confirmed, because it is too old, or
    /// because this host is an elected reader. A host that is connected to a hub leaves watches to
    /// others, and a stopping host watches no more.
    [[nodiscard]] auto isReadDue(Blackboard &board) -> bool;
    auto applyUpdate(Blackboard &board, const DirectoryUpdate &update, HostId from) -> void;
    /// Ends the first load of the directory, by whichever way it was complete first.
    auto loaded(Blackboard &board, HostId from) -> void;
    auto platformAnswered(Blackboard &board) -> void;
    /// Makes the next read one of the whole directory, as the changes that were asked for cannot be
    /// had.
    auto readWholeNext(Blackboard &board) -> void;
    /// Defers removals if `update` is of a later epoch than this host's directory: the platform was
    /// restored, and what it lost is written again.
    auto noteRestore(Blackboard &board, const DirectoryUpdate &update) -> void;
    /// Begins a pause before the next read, longer than the last one if that read did not succeed.
    auto pauseReads(Blackboard &board) -> void;
    /// Returns for how long a removal that is received now is deferred: until
    /// `Directory::reappearTime` after the end of the last outage.
    [[nodiscard]] auto removalDelay(const Blackboard &board) const -> Duration;

    DirectoryCall call;
    ConfirmationRead confirmation;
    FallbackReader fallbackReader;
    ReadThrottle throttle;
    DirectoryRequester requester;
    PageServer pageServer;
    DirectoryFaults faults;
    FreshnessSpreader freshnessSpreader;
    bool started = false;
    bool needsFullRead = false; ///< The platform no longer has the changes since this revision.
    MonoTime nextRead;
    MonoTime nextRecheck;        ///< When a host whose reads fail tries again.
    MonoTime resumedAt;          ///< The last pause that was noticed, or the start.
    MonoTime confirmedSince;     ///< `DirectoryFreshness::since` when the directory was confirmed.
    MonoTime lastChange;         ///< When a read last brought changes.
    bool hasSeenRestore = false; ///< Whether the platform was restored since this process started.
    Duration backoff { 0 };      ///< Pause after the last failed read; zero after a success.
};

} // namespace flamingograde
