/// The upstreams of its zone that this host prefers for new flows.
#pragma once

#include <flamingograde/ids.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace flamingograde {

class Blackboard;

/// An upstream in this host's subset.
struct SubsetMember
{
    std::uint32_t upstream = 0; ///< Directory index.
    InstanceId instance;        ///< To detect that the index was reused.
    double part = 1;            ///< Part of the upstream that falls to this host.
};

/// Subsets by service, and the versions of what they follow from.
/// @remarks Not thread safe.
struct PlacementSubsets
{
    std::unordered_map<ServiceId, std::vector<SubsetMember>> byService;
    std::uint64_t membersVersion = 0;
    std::uint64_t poolsVersion = 0;

    /// Returns the subset of a service; empty if it has none. Precondition: none.
    [[nodiscard]] auto of(ServiceId service) const -> const std::vector<SubsetMember> &
    {
        static const std::vector<SubsetMember> none;
        const auto found = this->byService.find(service);
        return found == this->byService.end() ? none : found->second;
    }
};

/// Makes the subsets anew if hosts of the zone or upstreams have changed.
/// Precondition: to be called on each `Tick`.
auto updateSubsets(Blackboard &board) -> void;

} // namespace flamingograde
