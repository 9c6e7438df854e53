/// What is known of upstreams beside the table.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

namespace flamingograde {

/// Ejections, ramps and hints by upstream.
/// @remarks Written by the upstream controller only. Not thread safe.
class UpstreamStore
{
public:
    /// Returns whether `upstream` may take new work: not ejected. The table's state is not looked
    /// at.
    [[nodiscard]] auto isUsable(UpstreamId upstream, MonoTime now) const -> bool;
};

} // namespace flamingograde
