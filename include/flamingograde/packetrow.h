/// One row of the packet services.
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

/// A service that takes part of a row's new flows.
struct ServiceShare
{
    ServiceId service;        ///< Made from `serviceName`.
    std::string serviceName;  ///< The service whose upstreams carry this part.
    std::uint32_t weight = 1; ///< Share of the new flows; 0: none.
};

/// A row whose flows come as packets. The address that a packet is sent to decides the row.
struct PacketRow
{
    RowId id;                         ///< Made from `name`.
    std::string name;                 ///< Unique among rows.
    Address address;                  ///< Where callers reach it; unique among rows.
    std::vector<ServiceShare> shares; ///< At least one.
    RequestKind kind = RequestKind::Request;
    bool idempotent = true;                      ///< Whether a repeat of its requests does no harm.
    std::uint32_t urgency = 0;                   ///< 0 to 9; a higher one is counted first.
    Duration deadline = config::defaultDeadline; ///< Callers give a request up after this.
    Duration target { 0 };                       ///< Response time aimed for; 0: none.
};

} // namespace flamingograde
