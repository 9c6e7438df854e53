/// A version of all packet rows.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/coldlimit.h>
#include <flamingograde/config.h>
#include <flamingograde/packetrow.h>
#include <flamingograde/revision.h>

#include <cstdint>
#include <vector>

namespace flamingograde {

/// The packet rows and cold limits that operators published. Immutable once published.
struct PacketRows
{
    std::uint64_t version = 0; ///< Version number set by the operators; for logs and dumps.
    Revision changed;          ///< Directory revision of the last change of the rows.
    Duration flowIdle = config::flowIdle; ///< A flow without packets for this long may be dropped.
    std::vector<PacketRow> rows;
    std::vector<ColdLimit> coldLimits; ///< One for each service that has a cold limit.
};

} // namespace flamingograde
