/// An upstream of the table or of the directory.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>
#include <string>

namespace flamingograde {

/// State of an upstream according to the table.
enum class UpstreamState : std::uint8_t {
    Active,   ///< Gets new work.
    Draining, ///< Finishes its work and gets no new work.
};

/// An upstream as published in the table or the directory.
struct Upstream
{
    UpstreamId id;                    ///< Made from `name`.
    std::string name;                 ///< Unique among upstreams.
    ServiceId service;                ///< Made from `serviceName`.
    std::string serviceName;          ///< The only service it belongs to.
    ZoneId zone;                      ///< Made from `zoneName`.
    std::string zoneName;             ///< Its availability zone.
    Address address;                  ///< Unique among upstreams.
    std::uint32_t slots = 2;          ///< Requests and uploads that it runs at once.
    std::uint32_t connections = 2000; ///< Feeds that it holds open at once.
    UpstreamState state = UpstreamState::Active;
    InstanceId instance;    ///< Needed to send it packets; invalid: it gets no packets.
    Duration warmup { 0 };  ///< How much longer it is cold, counted from its report.
    WallTime startedAt;     ///< Time of its start by its own clock; 1970: not reported. After a
                            ///< restart, an instance has no state from before.
    std::string version;    ///< Version of its software; empty if not reported.
    std::uint32_t line = 0; ///< Line of the upstream in the table's text.

    /// Returns the cell to which it belongs.
    [[nodiscard]] auto cell() const -> CellId { return cellOf(this->service, this->zone); }
};

} // namespace flamingograde
