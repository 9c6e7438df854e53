/// Opens, checks and closes the connections with other hosts.
#pragma once

#include "core/membership/dialer.h"

#include <flamingograde/clock.h>
#include <flamingograde/event.h>
#include <flamingograde/ids.h>

#include <cstddef>

namespace flamingograde {

class Blackboard;
struct MemberRecord;

/// Dials the chosen hosts, pings them, replaces hosts that do not answer, and closes connections
/// that neither side needs.
///
/// That a host does not answer affects only the connections of the host that observes it; the
/// observation is not sent to other hosts.
/// @remarks Not thread safe.
class LinkManager
{
public:
    /// Chooses hosts, dials and pings them and closes connections, each when due. Precondition:
    /// called on each `Tick`.
    auto tick(Blackboard &board) -> void;
    /// Handles a new connection with a member of `board`.
    auto connected(Blackboard &board, MemberRecord &record) -> void;
    /// Handles the loss of a connection or a failed dial. Precondition: the host is a member of
    /// `board`.
    auto lost(Blackboard &board, const PeerDown &down) -> void;
    /// Records that a message of a member of `board` arrived, which shows that it is alive.
    static auto heard(const Blackboard &board, MemberRecord &record) -> void;
    /// Clears pending pings and the records that hosts did not answer. Called after a pause of this
    /// process, during which answers could not be received, so that elapsed time proves nothing.
    static auto reset(Blackboard &board) -> void;

private:
    /// Chooses connections anew and informs connected hosts whose link use changed.
    auto choose(Blackboard &board) -> void;
    /// Pings a member. A ping to another zone also names one hub of the own zone, each in turn.
    auto ping(Blackboard &board, MemberRecord &record) -> void;

    Dialer dialer;
    MonoTime nextChoice;
    /// Index of the hub of the own zone that was last named in a ping to another zone.
    std::size_t lastIntroduced = 0;
};

} // namespace flamingograde
