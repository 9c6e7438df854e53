/// Reads of the directory by a host that other hosts have left without news of it.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

class Blackboard;

/// Decides when a host reads the directory itself, as nobody shows it in time that it has all
/// changes.
///
/// This is what bounds the time until a change is in force, whichever other hosts are down and
/// whatever they say: it depends on the age of this host's own directory alone. The hubs of a zone
/// read first, one after the other; a success reaches the other hosts before it is their turn.
///
/// While the platform does not answer, each host tries once: at once in a small zone, over a time
/// that grows with the zone if its hubs say that their reads fail. A host whose own try has failed
/// leaves the next ones mostly to the hubs, which try about every second. Protects the platform
/// against a call per second from each host during an outage: 353 hosts made 3,289 calls in a day
/// with an outage of 5 s and 716 starts.
/// @remarks Not thread safe.
class FallbackReader
{
public:
    /// Returns whether this host is not a hub and is connected to an answering hub, so that it
    /// leaves watches to others. Precondition: the links in `board.links` have been chosen.
    [[nodiscard]] static auto hasHub(const Blackboard &board) -> bool;

    /// Returns whether to read now, whatever other hosts do. Precondition: called on each `Tick`
    /// on which no read is in progress.
    [[nodiscard]] auto isDue(Blackboard &board) -> bool;

    /// Returns whether this host, which has a hub, has read successfully and is the elected reader:
    /// it then goes on reading until another host is elected. Precondition: none.
    [[nodiscard]] auto isElected(const Blackboard &board) -> bool;

    /// Records whether a read succeeded. Precondition: none.
    auto noteRead(bool succeeded) -> void;

private:
    std::optional<MonoTime> dueAt; ///< When to read, while waiting.
    bool hasFailed = false;        ///< A read failed since the directory was young enough.
    bool isActive = false; ///< The last read succeeded; ends when another host is elected reader.
};

} // namespace flamingograde
