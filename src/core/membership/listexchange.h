/// When to tell a host all that is known of the fleet.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstddef>

namespace flamingograde {

class Blackboard;
struct Gossip;

/// Sends member lists where the views of two hosts differ, and no more than an allowance of bytes.
///
/// Each message carries a digest of its sender's view. Two hosts that just met compare them with
/// their first messages, others when the views stayed apart for longer than gossip takes.
/// @remarks Not thread safe. Throws nothing.
class ListExchange
{
public:
    /// Takes what a host's message told, after its updates were taken.
    /// Precondition: `from` is a known member.
    auto heard(Blackboard &board, HostId from, const Gossip &gossip) -> void;

private:
    /// Returns whether a whole list may be sent now, and counts it.
    auto takeAllowance(const Blackboard &board) -> bool;

    double allowance = 0; ///< Bytes that may be sent now.
    MonoTime refilled;
};

} // namespace flamingograde
