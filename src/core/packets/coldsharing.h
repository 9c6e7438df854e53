/// Division of a cold upstream's request limit between the hosts of its zone.
#pragma once

#include <flamingograde/coldlimit.h>
#include <flamingograde/coldpolicy.h>

#include <variant>

namespace flamingograde {

class Blackboard;
struct UpstreamEntry;

/// Gives the whole rate to one host of the upstream's zone, the owner, chosen by rendezvous hashing
/// over the hosts that this host considers alive. Hosts of other zones send nothing.
///
/// Membership views differ while hosts join and leave, so two hosts may both consider themselves
/// the owner; the rate is chosen so that both together stay below the bound.
struct SingleOwnerSharing
{
    [[nodiscard]] auto rateOf(const Blackboard &board, const UpstreamEntry &entry,
                              const ColdLimit &limit) const -> double;
};

/// Gives each host of the upstream's zone an equal part of the rate. Serves as a baseline in
/// experiments.
struct EqualSplitSharing
{
    [[nodiscard]] auto rateOf(const Blackboard &board, const UpstreamEntry &entry,
                              const ColdLimit &limit) const -> double;
};

using ColdSharing = std::variant<SingleOwnerSharing, EqualSplitSharing>;

/// Returns the division that a policy stands for. Precondition: the policy is not `Unlimited`.
/// Thread safe.
[[nodiscard]] auto coldSharingOf(ColdPolicy policy) -> ColdSharing;

/// Refills the token buckets of cold upstreams and lifts the limits of those whose cold time is
/// over.
///
/// The limits prevent overload when an evacuation ends or a service is replaced: all upstreams are
/// then cold at once, and placement by load prefers them because they look idle.
/// Precondition: to be called on each `Tick`.
auto updateColdLimits(Blackboard &board) -> void;

} // namespace flamingograde
