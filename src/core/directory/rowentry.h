/// A packet row with the state that this process keeps for it.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/packetrow.h>

#include <vector>

namespace flamingograde {

/// A current row.
struct RowEntry
{
    const PacketRow *row = nullptr; ///< Points into the current `PacketRows`.
    /// Every service that the row has or had while this process ran: open flows stay with the
    /// service at which they were opened.
    std::vector<ServiceId> servicesEverHad;
};

} // namespace flamingograde
