/// Division of a cold upstream's request limit between the hosts of its zone.
#pragma once

#include <flamingograde/coldlimit.h>
#include <flamingograde/coldpolicy.h>

#include <variant>

namespace flamingograde {

class Blackboard;
struct UpstreamEntry;

/// Lets only one host of the upstream's zone, the owner, send requests to a cold upstream. The
/// owner is chosen by rendezvous hashing over the hosts that this host considers alive. Hosts of
/// other zones send nothing.
///
/// Membership views differ while hosts join and leave, so two hosts may both consider themselves
/// the owner. An owner's request rate is therefore reduced below the cold limit, to half of it at
/// the least, if two owners together would exceed the bound on the requests of all hosts in a
/// second that `Init::coldExcess` and `Init::coldSlack` set.
struct SingleOwnerSharing
{
    [[nodiscard]] auto rateOf(const Blackboard &board, const UpstreamEntry &entry,
                              const ColdLimit &limit) const -> double;
};

/// Gives each host of the upstream's zone an equal part of the cold limit. Serves as a baseline in
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
