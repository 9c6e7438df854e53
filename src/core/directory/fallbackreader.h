/// Reads of the directory in place of a zone's hubs.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

class Blackboard;

/// Decides when a host reads the directory itself because the hubs of its zone cannot.
///
/// Each host waits for a random time whose bound grows with the number of hosts in the zone, so
/// that about four hosts of a zone try per second; the first that succeeds informs the others
/// through the hubs. Protects the platform against a call per second from each host during an
/// outage: 353 hosts made 3,289 calls in a day with an outage of 5 s and 716 starts.
/// @remarks Not thread safe.
class FallbackReader
{
public:
    /// Returns whether this host is not a hub and is connected to an answering hub, so that it
    /// reads only if `isDue()`. Precondition: the links in `board.links` have been chosen.
    [[nodiscard]] static auto hasHub(const Blackboard &board) -> bool;

    /// Returns whether this host is a hub, another hub's reads fail, and no successful read has
    /// been heard of for `config::directorySilence`. All hubs then try at once: one after the
    /// other, each would take 0.7 s to notice that the platform does not answer. Precondition: the
    /// links in `board.links` have been chosen.
    [[nodiscard]] static auto isHubTakeover(const Blackboard &board) -> bool;

    /// Returns whether to read now. Precondition: called on each `Tick`.
    /// @param staleAfter the age of the last known successful read at which this host has to read
    /// even if a hub's reads do not fail.
    [[nodiscard]] auto isDue(Blackboard &board, Duration staleAfter) -> bool;

    /// Records whether a read succeeded. Precondition: none.
    auto noteRead(bool succeeded) -> void { this->isActive = succeeded; }

private:
    std::optional<MonoTime> dueAt; ///< When to read, while waiting.
    bool isActive = false; ///< The last read succeeded; ends when another host is elected reader.
};

} // namespace flamingograde
