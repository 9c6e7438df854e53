/// State of upstreams that is not part of the table.
#pragma once

#include "core/upstreams/upstreamhealth.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>
#include <flamingograde/upstream.h>

#include <cstdint>
#include <unordered_map>

namespace flamingograde {

/// Ejections, ramps, limits and probe hints by upstream.
/// @remarks Written by the upstream controller only. Not thread safe.
class UpstreamStore
{
public:
    /// Returns whether `upstream` is not ejected. Does not consider its state in the table.
    [[nodiscard]] auto isUsable(UpstreamId upstream, MonoTime now) const -> bool;

    /// Returns how many concurrent requests `upstream` may run now: its slots; fewer while it is
    /// cold, has shed load or its probes fail; none while it is ejected or paused.
    [[nodiscard]] auto effectiveSlots(const Upstream &upstream, MonoTime now) const
            -> std::uint32_t;

    /// Returns when `upstream` accepts requests again; a time in the past if it does now.
    [[nodiscard]] auto availableAt(UpstreamId upstream) const -> MonoTime;

    /// Returns whether `upstream` was ejected, has not fully recovered since, and its probes
    /// report a problem.
    [[nodiscard]] auto isLastResort(UpstreamId upstream) const -> bool;

    /// Returns the health of `upstream`; created if it does not exist.
    auto health(UpstreamId upstream) -> UpstreamHealth & { return this->byId[upstream]; }
    [[nodiscard]] auto find(UpstreamId upstream) const -> const UpstreamHealth *;
    [[nodiscard]] auto all() -> std::unordered_map<UpstreamId, UpstreamHealth> &
    {
        return this->byId;
    }
    [[nodiscard]] auto all() const -> const std::unordered_map<UpstreamId, UpstreamHealth> &
    {
        return this->byId;
    }

    Revision revision; ///< Revision of the table from which `byId` was last updated.

private:
    std::unordered_map<UpstreamId, UpstreamHealth> byId;
};

} // namespace flamingograde
