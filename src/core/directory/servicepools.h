/// The pools of all services, and the requests of this host at their upstreams.
#pragma once

#include "core/directory/servicepool.h"

#include <flamingograde/ids.h>

#include <cstdint>
#include <unordered_map>

namespace flamingograde {

struct UpstreamEntry;

/// Groups the entries that accept new flows by service.
/// @remarks Not thread safe. The directory fills it anew after each change of an entry.
class ServicePools
{
public:
    /// Returns the pool of a service; empty for an unknown one. Precondition: none.
    [[nodiscard]] auto find(ServiceId service) const -> const ServicePool &;

    /// Returns the pools of all services. Precondition: none.
    [[nodiscard]] auto all() const -> const std::unordered_map<ServiceId, ServicePool> &
    {
        return this->pools;
    }

    /// Returns a number that increases each time the pools are made anew. Precondition: none.
    [[nodiscard]] auto version() const -> std::uint64_t { return this->fillings; }

    /// Removes all entries; the pools remain. Precondition: none.
    auto clear() -> void;

    /// Adds an entry that accepts new flows, which has `index` in the directory. Precondition: it
    /// has not been added since the last `clear`.
    auto add(UpstreamEntry &entry, std::uint32_t index) -> void;

    /// Counts a request of this host as pending at an entry, or no longer. Precondition: none.
    auto beginRequest(UpstreamEntry &entry) -> void;
    auto endRequest(UpstreamEntry &entry) -> void;

    /// Counts a request of this host as waiting for, or occupying, a slot of an entry, or no
    /// longer. Precondition: none.
    auto beginWork(UpstreamEntry &entry) -> void;
    auto endWork(UpstreamEntry &entry) -> void;

private:
    std::unordered_map<ServiceId, ServicePool> pools;
    std::uint64_t fillings = 0;
};

} // namespace flamingograde
