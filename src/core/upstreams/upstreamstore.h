/// What is known of upstreams beside the table.
#pragma once

#include "core/upstreams/upstreamhealth.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>
#include <flamingograde/upstream.h>

#include <cstdint>
#include <unordered_map>

namespace flamingograde {

/// Ejections, ramps and hints by upstream.
/// @remarks Written by the upstream controller only. Not thread safe.
class UpstreamStore
{
public:
    /// Returns whether `upstream` may take new work: not ejected. The table's state is not looked
    /// at.
    [[nodiscard]] auto isUsable(UpstreamId upstream, MonoTime now) const -> bool;

    /// Returns how many requests `upstream` may run at once now: its slots, fewer while it is
    /// cold, sheds or is doubted, none while it is ejected or paused.
    [[nodiscard]] auto effectiveSlots(const Upstream &upstream, MonoTime now) const
            -> std::uint32_t;

    /// Returns when `upstream` takes requests again; a time in the past where it does.
    [[nodiscard]] auto opensAt(UpstreamId upstream) const -> MonoTime;

    /// Returns whether traffic failed at `upstream` lately and its probes still speak against it.
    [[nodiscard]] auto isLastResort(UpstreamId upstream) const -> bool;

    /// Returns what is known of `upstream`, made where nothing was.
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

    Revision revision; ///< Of the table that `byId` follows.

private:
    std::unordered_map<UpstreamId, UpstreamHealth> byId;
};

} // namespace flamingograde
