/// Detection of upstreams that do not answer.
#pragma once

#include <flamingograde/clock.h>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingograde {

class Blackboard;
struct ServicePool;
struct UpstreamEntry;
struct UpstreamEvidence;

/// Records that the upstream at directory index `upstream` was heard, which ends its silence.
/// Precondition: it is in the directory.
auto recordHeard(Blackboard &board, std::uint32_t upstream) -> void;

/// Records that an opening or a request, forwarded at `sentAt` of `FlowTable::clock`, was answered.
auto recordAnswered(Blackboard &board, std::uint32_t sentAt) -> void;

/// Records that an opening or a request, forwarded at `sentAt` of `FlowTable::clock`, was not
/// answered in time.
///
/// The upstream counts as silent after `config::silentOpenings` of them, provided that another
/// upstream was heard after `sentAt`: otherwise this host or its callers may be cut off.
/// Precondition: the upstream at directory index `upstream` is in the directory.
auto recordUnanswered(Blackboard &board, std::uint32_t upstream, std::uint32_t sentAt) -> void;

/// Records that a request to an upstream, first forwarded at `sentAt` of `FlowTable::clock`, was
/// sent a third time.
///
/// The request counts only if upstreams answered, without a gap, what this host sent from before
/// the request until after its first resend. Otherwise this host may have been cut off at that
/// time.
auto recordLostRequest(Blackboard &board, UpstreamEntry &entry, std::uint32_t sentAt) -> void;

/// Returns whether the evidence that an upstream is silent is strong enough to reset open flows.
///
/// The upstream must be silent, and `config::lostRequestsMin` callers must have sent it a request
/// three times within the last `config::lostRequestsFresh` while other upstreams answered this
/// host; the oldest of them was lost `config::lostRequestsSettled` ago, without a sign of life
/// since. A reset cannot be undone, so older evidence does not count, nor evidence from before the
/// upstream was last listed. Upstreams of other zones never qualify, as their whole zone may be cut
/// off. Precondition: `entry` is of the board's directory.
[[nodiscard]] auto isPresumedDead(const Blackboard &board, const UpstreamEntry &entry) -> bool;

/// Returns the milliseconds since an upstream was last heard, or "never", as text for the log.
[[nodiscard]] auto heardAgoText(MonoTime now, const UpstreamEvidence &evidence) -> std::string;

/// Returns a silent upstream of the pool whose trial is due, or nothing. A new flow is then sent to
/// it in addition to the upstream that was chosen, to find out whether it answers again. Schedules
/// the next trial after twice the pause, up to `config::trialPauseMax`.
[[nodiscard]] auto startDueTrial(Blackboard &board, const ServicePool &pool)
        -> std::optional<std::uint32_t>;

} // namespace flamingograde
