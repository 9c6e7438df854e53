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
/// No host leaves a read to another one because of what that one says. A host that has failed goes
/// on by itself, too: it asks the platform for an empty answer about every second, which costs a
/// tenth of a read, and reads when there is one. Only elected readers, which are few, read at once.
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

    /// Returns whether to ask first whether the platform answers. Precondition: a read is due.
    [[nodiscard]] auto needsProbe(const Blackboard &board) const -> bool;

    /// Records that the platform answered a probe: the read is due at once. Precondition: none.
    auto noteProbed() -> void { this->isProbed = true; }

    /// Returns whether this host, which has a hub, has read successfully and is the elected reader:
    /// it then goes on reading until another host is elected. Precondition: none.
    [[nodiscard]] auto isElected(const Blackboard &board) -> bool;

    /// Records whether a read succeeded. Precondition: none.
    auto noteRead(bool succeeded) -> void;

private:
    /// Returns when to read, as soon as the directory is too old.
    auto turn(Blackboard &board) -> MonoTime;

    std::optional<MonoTime> dueAt; ///< When to read, while waiting.
    bool hasFailed = false;        ///< A read failed since the directory was young enough.
    bool isProbed = false;         ///< The platform answered a probe since the last read.
    bool isActive = false; ///< The last read succeeded; ends when another host is elected reader.
};

} // namespace flamingograde
