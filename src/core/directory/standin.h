/// Reading the directory in place of a zone's hubs.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

class Blackboard;

/// When a host that is no hub reads the directory, because no hub of its zone can.
///
/// Each waits for a time of its own that grows with the zone, so that about four hosts of a zone a
/// second try, and the first that succeeds tells the others through the hubs. Guards the platform
/// against a call a second of each host while it is down: of 353 hosts, 3,289 calls in a day with
/// an outage of 5 s and 716 starts.
/// @remarks Not thread safe.
class StandIn
{
public:
    /// Returns whether this host is to leave the reading to a hub that it is connected with.
    /// Precondition: `board.links` was chosen.
    [[nodiscard]] static auto hasHub(const Blackboard &board) -> bool;

    /// Returns whether this host is a hub, another hub's reads fail, and nobody was heard to read
    /// since: then all hubs try at once, and not one after the other, each of which would take
    /// 0.7 s to find a silent platform silent. Precondition: as above.
    [[nodiscard]] static auto isTakeover(const Blackboard &board) -> bool;

    /// Returns whether to read now. Precondition: to be called on each `Tick`, with the time for
    /// which nothing newer may be heard.
    [[nodiscard]] auto isDue(Blackboard &board, Duration staleAfter) -> bool;

    /// Takes that a read succeeded, or that one failed. Precondition: none.
    auto noteRead(bool succeeded) -> void { this->stands = succeeded; }

private:
    std::optional<MonoTime> due;
    bool stands = false; ///< Reads while the hubs cannot.
};

} // namespace flamingograde
