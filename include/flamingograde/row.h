/// One row of the table: a service's request kind.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/config.h>
#include <flamingograde/ids.h>
#include <flamingograde/requestkind.h>

#include <cstdint>
#include <string>

namespace flamingograde {

/// A row as an operator wrote it. Each row has an address of its own: the address decides the row.
struct Row
{
    RowId id;                ///< Made from `name`.
    std::string name;        ///< Unique among rows.
    ServiceId service;       ///< Made from `serviceName`.
    std::string serviceName; ///< The service whose upstreams carry this row.
    Address address;         ///< Where callers reach it; unique among rows.
    RequestKind kind = RequestKind::Request;
    bool idempotent = true;       ///< Whether a repeat does no harm. Always true for feeds.
    std::uint32_t weight = 1;     ///< Share of the service's slots under contention.
    std::uint32_t urgency = 0;    ///< 0 to 9; a higher one is counted first.
    std::uint32_t concurrent = 0; ///< Most exchanges under way in the fleet's cell; 0: no limit.
    std::uint32_t queue = 100;    ///< Most exchanges waiting in one cell.
    Duration deadline = config::defaultDeadline; ///< Time from arrival to the whole answer.
    std::uint64_t bodyMax = 1U << 20U;           ///< Largest request body in bytes.
    std::uint32_t line = 0;                      ///< Where the table's text has it.
};

} // namespace flamingograde
