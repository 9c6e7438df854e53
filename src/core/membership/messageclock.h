/// Dates the messages of other hosts by this host's own clock.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

class Blackboard;
struct LinkRecord;

/// Returns this host's steady clock as it is sent to other hosts, in ms. Never 0.
/// Precondition: `board.now` is set.
[[nodiscard]] auto clockToSend(const Blackboard &board) -> std::uint64_t;

/// Returns the last clock that came from a member, plus the time since then, in ms: what the
/// member's clock shows now, or less. 0: none came yet. Precondition: `board.now` is set.
[[nodiscard]] auto clockToEcho(const Blackboard &board, const LinkRecord &link) -> std::uint64_t;

/// Records the clock that a member sent. Precondition: `board.now` is set.
auto noteClock(const Blackboard &board, LinkRecord &link, const Gossip &gossip) -> void;

/// Returns a time before which a message was certainly not made; empty if it tells none.
///
/// A message may have waited for any time: on a link that was cut, or unread by a host that stood
/// still. When it arrives says nothing of when its sender knew what it says; that it repeats this
/// host's clock does. Precondition: `board.now` is set.
[[nodiscard]] auto madeNotBefore(const Blackboard &board, const Message &message)
        -> std::optional<MonoTime>;

} // namespace flamingograde
