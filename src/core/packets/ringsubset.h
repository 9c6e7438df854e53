/// Division of a zone's upstreams into overlapping subsets, one for each host.
#pragma once

#include <cstddef>
#include <vector>

namespace flamingograde {

/// An upstream that falls to a host, wholly or in part.
struct SubsetPart
{
    std::size_t position = 0; ///< Position in the ordered list of upstreams.
    double part = 1;          ///< Above 0 and up to 1; less than 1 at the ends of the subset.
};

/// Returns the upstreams that fall to one of several hosts: a section of the ring of upstreams,
/// at least `config::subsetHosts` times as wide as an even division of the ring would be, and at
/// least `config::subsetUpstreamsMin` upstreams wide. Unusable upstreams are passed over.
///
/// Hosts that order hosts and upstreams alike get sections that cover each upstream equally often.
/// A host thus sees a large part of the requests at the upstreams that it uses. A host that uses
/// all upstreams of a large zone sees so few of their requests that it chooses blindly, and takes
/// long to find out that one of them is slow or silent.
/// (Deterministic subsetting, as published by Google's site reliability engineers.)
///
/// Precondition: `hosts` is above 0 and `rank`, the position of the host, below it. Thread safe.
/// @param usable for each upstream in ring order, whether it can be used.
[[nodiscard]] auto ringSubset(std::size_t rank, std::size_t hosts, const std::vector<bool> &usable)
        -> std::vector<SubsetPart>;

} // namespace flamingograde
