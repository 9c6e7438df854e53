/// Division of the request rate of a cold upstream between hosts.
#pragma once

#include <flamingograde/coldlimit.h>
#include <flamingograde/coldpolicy.h>

#include <variant>

namespace flamingograde {

class Blackboard;
struct UpstreamEntry;

/// Gives the whole rate to one host of the upstream's zone, the owner, chosen by rendezvous hashing
/// over the hosts that this host holds to be alive. Hosts of other zones send nothing.
///
/// Membership views differ while hosts join and leave, so two hosts may both regard themselves as
/// the owner; the rate keeps both together below the bound.
struct SingleOwnerSharing
{
    [[nodiscard]] auto rateOf(const Blackboard &board, const UpstreamEntry &entry,
                              const ColdLimit &limit) const -> double;
};

/// Gives each host of the upstream's zone an equal part of the rate. A baseline for experiments.
struct EqualSplitSharing
{
    [[nodiscard]] auto rateOf(const Blackboard &board, const UpstreamEntry &entry,
                              const ColdLimit &limit) const -> double;
};

using ColdSharing = std::variant<SingleOwnerSharing, EqualSplitSharing>;

/// Returns the sharing of a policy. Precondition: the policy is not `Unlimited`. Thread safe.
[[nodiscard]] auto sharingOf(ColdPolicy policy) -> ColdSharing;

/// Refills the allowances of cold upstreams and lifts the limits of those that are warm.
///
/// Guards against overload when an evacuation ends or a service is replaced: all upstreams are
/// then cold at once, and placement by load prefers them because they look idle.
/// Precondition: to be called on each `Tick`.
auto reviewColdUpstreams(Blackboard &board) -> void;

} // namespace flamingograde
