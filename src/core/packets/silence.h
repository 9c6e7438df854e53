/// Which upstreams do not answer.
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

/// Takes a sign of life of the upstream at `upstream`. Precondition: it is in the directory.
auto noteSign(Blackboard &board, std::uint32_t upstream) -> void;

/// Takes that an opening or a request, forwarded at `sentAt` of `FlowTable::clock`, was answered.
auto noteAnswered(Blackboard &board, std::uint32_t sentAt) -> void;

/// Takes an opening or a request, forwarded at `sentAt` of `FlowTable::clock`, that was not
/// answered in time.
///
/// The upstream is held to be silent after `config::silentOpenings` of them, if another one
/// showed life since: otherwise this host, or callers, may have been cut off.
/// Precondition: as above.
auto noteUnanswered(Blackboard &board, std::uint32_t upstream, std::uint32_t sentAt) -> void;

/// Takes that a request of an upstream, first forwarded at `sentAt`, was sent a third time.
///
/// It counts only if others answered what this host sent them from before the request until after
/// its first resend. A host that is cut off, or was, reached nobody then.
auto noteLost(Blackboard &board, UpstreamEntry &entry, std::uint32_t sentAt) -> void;

/// Returns whether an upstream is so surely silent that open flows need not wait for it: besides
/// what makes it silent, `config::lostFlows` callers sent it a request three times within the last
/// `config::lostFresh`, while others answered this host. A reset cannot be taken back, so older
/// word does not do, nor word from before its newest listing. Upstreams of other zones never are:
/// those zones may be cut off. Precondition: `entry` is of the board's directory.
[[nodiscard]] auto isLost(const Blackboard &board, const UpstreamEntry &entry) -> bool;

/// Returns for how many milliseconds nothing was heard of an upstream, or "never", for the log.
[[nodiscard]] auto heardAgo(MonoTime now, const UpstreamEvidence &evidence) -> std::string;

/// Returns a silent upstream of the pool to which a new flow is to be sent beside its own, to see
/// whether it is back; counts the trial.
[[nodiscard]] auto takeTrial(Blackboard &board, const ServicePool &pool)
        -> std::optional<std::uint32_t>;

} // namespace flamingograde
