/// Sends this host's clock to other hosts and reads it back from their messages.
#include "core/membership/messageclock.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"
#include "core/milliseconds.h"
#include "core/overlay/linkrecord.h"

#include <algorithm>
#include <chrono>

namespace flamingograde {

namespace {

/// Returns the latest clock of this host that a message repeats; 0 if it repeats none. An `Ack` of
/// a host of an older version repeats that of the `Ping` only.
auto repeatedClock(const Message &message) -> std::uint64_t
{
    const auto *gossip = gossipOf(message);
    const auto *ack = std::get_if<Ack>(&message);
    return std::max(gossip != nullptr ? gossip->echoMs : 0, ack != nullptr ? ack->sequence : 0);
}

} // namespace

auto clockToSend(const Blackboard &board) -> std::uint64_t
{
    return static_cast<std::uint64_t>(
            std::max<std::int64_t>(milliseconds(board.now.mono.time_since_epoch()), 1));
}

auto clockToEcho(const Blackboard &board, const LinkRecord &link) -> std::uint64_t
{
    const auto held = milliseconds(board.now.mono - link.clockReceived);
    return link.clockMs == 0 ? 0 : link.clockMs + static_cast<std::uint64_t>(held);
}

auto noteClock(const Blackboard &board, LinkRecord &link, const Gossip &gossip) -> void
{
    if (gossip.clockMs != 0) {
        link.clockMs = gossip.clockMs;
        link.clockReceived = board.now.mono;
    }
}

auto madeNotBefore(const Blackboard &board, const Message &message) -> std::optional<MonoTime>
{
    const auto clock = repeatedClock(message);
    if (clock == 0 || clock > clockToSend(board)) {
        return std::nullopt;
    }
    const MonoTime made { std::chrono::milliseconds(clock) };
    return made < board.membership.startedAt ? std::nullopt : std::optional(made);
}

} // namespace flamingograde
