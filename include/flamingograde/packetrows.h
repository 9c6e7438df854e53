/// The rows of the packet services under one version.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/coldlimit.h>
#include <flamingograde/config.h>
#include <flamingograde/packetrow.h>
#include <flamingograde/revision.h>

#include <cstdint>
#include <vector>

namespace flamingograde {

/// What operators published of packet services. Immutable once published.
struct PacketRows
{
    std::uint64_t version = 0;            ///< The operators' own number; for logs and dumps.
    Revision changed;                     ///< The directory's revision of it.
    Duration flowIdle = config::flowIdle; ///< A flow without packets for this long may be dropped.
    std::vector<PacketRow> rows;
    std::vector<ColdLimit> coldLimits; ///< Of services that have a cold limit.
};

} // namespace flamingograde
