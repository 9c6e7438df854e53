/// A row of the table.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/config.h>
#include <flamingograde/ids.h>
#include <flamingograde/requestkind.h>

#include <cstdint>
#include <string>

namespace flamingograde {

/// A row as an operator wrote it: one kind of request of a service. Each row has its own address,
/// by which requests are assigned to it.
struct Row
{
    RowId id;                ///< Made from `name`.
    std::string name;        ///< Unique among rows.
    ServiceId service;       ///< Made from `serviceName`.
    std::string serviceName; ///< The service whose upstreams serve this row.
    Address address;         ///< Address that callers use; unique among rows.
    RequestKind kind = RequestKind::Request;
    bool idempotent = true;    ///< Whether requests may be repeated safely. Always true for feeds.
    std::uint32_t weight = 1;  ///< Share of the service's slots under contention.
    std::uint32_t urgency = 0; ///< 0 to 9; higher ones are served first in a scheduling round.
    std::uint32_t concurrent = 0; ///< Most concurrent exchanges in a cell; 0: no limit.
    std::uint32_t queue = 100;    ///< Most queued exchanges in a cell.
    Duration deadline = config::defaultDeadline; ///< Time from arrival to the complete answer.
    std::uint64_t bodyMax = 1U << 20U;           ///< Largest request body in bytes.
    std::uint32_t line = 0;                      ///< Line of the row in the table's text.
};

} // namespace flamingograde
