/// Keeps the connections that were chosen.
#pragma once

#include "core/membership/dialer.h"

#include <flamingograde/clock.h>
#include <flamingograde/event.h>
#include <flamingograde/ids.h>

#include <cstddef>

namespace flamingograde {

class Blackboard;
struct MemberRecord;

/// Dials, asks for signs of life, turns away from hosts that give none, and closes what neither
/// side needs.
///
/// What a host finds out of another one concerns its own connections only; it tells nobody.
/// @remarks Not thread safe.
class LinkKeeper
{
public:
    /// Chooses, dials, asks and closes what is due. Precondition: to be called on each `Tick`.
    auto tick(Blackboard &board) -> void;
    /// Takes a new connection with a member of `board`.
    auto connected(Blackboard &board, MemberRecord &record) -> void;
    /// Takes the loss of a connection or a failed dial. Precondition: the host is known.
    auto lost(Blackboard &board, const PeerDown &down) -> void;
    /// Takes a sign of life of a member of `board`.
    static auto heard(const Blackboard &board, MemberRecord &record) -> void;
    /// Forgets what is under way: the process was paused and its timers mean nothing.
    static auto reset(Blackboard &board) -> void;

private:
    auto choose(Blackboard &board) -> void;
    auto ask(Blackboard &board, MemberRecord &record) -> void;

    Dialer dialer;
    MonoTime nextChoice;
    std::size_t lastTold = 0; ///< Which hub of the zone a host of another was told of last.
};

} // namespace flamingograde
