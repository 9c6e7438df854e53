/// A packet row with what this process remembers of it.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/packetrow.h>

#include <vector>

namespace flamingograde {

/// A row in force.
struct RowEntry
{
    const PacketRow *row = nullptr; ///< Part of the rows in force.
    std::vector<ServiceId> had; ///< Every service it has or had: open flows stay where they are.
};

} // namespace flamingograde
