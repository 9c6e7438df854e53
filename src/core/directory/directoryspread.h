/// Sends directory changes, and pages of the whole directory, to other hosts.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <vector>

namespace flamingograde {

class Blackboard;

/// Sends changes to the connected hosts that are not known to have them.
///
/// Hosts that lack the same changes receive them as one message that is encoded once: rows of 42 KB
/// take 0.6 ms to encode, and a hub sends them to 24 hosts. Hosts that need the whole directory get
/// nothing: they request its pages. Precondition: `update` has been applied to the directory.
auto sendChanges(Blackboard &board, const std::vector<HostId> &hosts, const DirectoryUpdate &update)
        -> void;

/// Tells the connected hosts that need the whole directory, as they have none or one of an earlier
/// epoch, that this host has it, or a part of it, so that they request it. Precondition: none.
auto announceDirectory(Blackboard &board) -> void;

/// Tells the connected hosts that do not know whether their directory is current that this host's
/// is. Precondition: the directory was shown to be current.
auto announceFreshness(Blackboard &board) -> void;

/// Tells other hosts up to when this host's directory has all changes, on the ways on which changes
/// go: a reader's answer reaches each host within some messages, although nothing has changed.
/// @remarks Not thread safe.
class FreshnessSpreader
{
public:
    /// Sends the time to the hosts to which a change that came from `from` would be sent, unless
    /// it is only a little later than the one sent last. Precondition: none.
    auto spread(Blackboard &board, HostId from) -> void;

private:
    MonoTime sentUntil; ///< The time that was sent last.
};

/// Answers requests for pages of the whole directory; while this host has a part, with that part.
///
/// Equal requests that arrive between two ticks are answered by one message, encoded once, and few
/// pages are sent per tick: after a restart of all hosts, a hub sends the whole directory to some
/// forty others while it forwards callers' packets.
/// @remarks Not thread safe.
class PageServer
{
public:
    /// Answers a request, at once or with one of the next ticks. Precondition: none.
    auto request(Blackboard &board, HostId from, DirectoryPosition position) -> void;

    /// Sends pages that were requested since the last tick. Precondition: called on each `Tick`.
    auto tick(Blackboard &board) -> void;

private:
    struct Group
    {
        ZoneId zone;
        DirectoryPosition position;
        std::vector<HostId> hosts;
    };

    static auto send(Blackboard &board, const Group &group) -> void;

    std::vector<Group> waiting; ///< In the order of their first requests.
    bool sentSinceTick = false;
};

} // namespace flamingograde
