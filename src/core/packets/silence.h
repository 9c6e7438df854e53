/// Which upstreams do not answer.
#pragma once

#include <flamingograde/clock.h>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingograde {

class Blackboard;
struct ServicePool;
struct UpstreamEvidence;

/// Takes a sign of life of the upstream at `upstream`. Precondition: it is in the directory.
auto noteSign(Blackboard &board, std::uint32_t upstream) -> void;

/// Takes an opening or a request, forwarded at `sentAt` of `FlowTable::clock`, that was not
/// answered in time.
///
/// The upstream is held to be silent after `config::silentOpenings` of them, if another one
/// showed life since: otherwise this host, or callers, may have been cut off.
/// Precondition: as above.
auto noteUnanswered(Blackboard &board, std::uint32_t upstream, std::uint32_t sentAt) -> void;

/// Returns for how many milliseconds nothing was heard of an upstream, or "never", for the log.
[[nodiscard]] auto heardAgo(MonoTime now, const UpstreamEvidence &evidence) -> std::string;

/// Returns a silent upstream of the pool to which a new flow is to be sent beside its own, to see
/// whether it is back; counts the trial.
[[nodiscard]] auto takeTrial(Blackboard &board, const ServicePool &pool)
        -> std::optional<std::uint32_t>;

} // namespace flamingograde
