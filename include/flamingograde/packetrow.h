/// A row whose requests arrive as packets.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/config.h>
#include <flamingograde/ids.h>
#include <flamingograde/requestkind.h>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingograde {

/// A service that gets a share of a row's new flows.
struct ServiceShare
{
    ServiceId service;        ///< Made from `serviceName`.
    std::string serviceName;  ///< The service whose upstreams get this share.
    std::uint32_t weight = 1; ///< Relative share of the new flows; 0: none.
};

/// A row whose flows arrive as packets. The destination address of a packet determines the row.
struct PacketRow
{
    RowId id;                         ///< Made from `name`.
    std::string name;                 ///< Unique among rows.
    Address address;                  ///< Address that callers use; unique among rows.
    std::vector<ServiceShare> shares; ///< At least one.
    RequestKind kind = RequestKind::Request;
    bool idempotent = true;                      ///< Whether its requests may be repeated safely.
    std::uint32_t urgency = 0;                   ///< 0 to 9; a higher one is more urgent.
    Duration deadline = config::defaultDeadline; ///< Time after which callers abandon a request.
    Duration target { 0 };                       ///< Target response time; 0: none.
};

} // namespace flamingograde
