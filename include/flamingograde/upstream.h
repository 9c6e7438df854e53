/// One upstream of the table.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>
#include <string>

namespace flamingograde {

/// What the table says of an upstream.
enum class UpstreamState : std::uint8_t {
    Active,   ///< Takes new work.
    Draining, ///< Finishes what it has and takes nothing new.
};

/// An upstream as an operator wrote it.
struct Upstream
{
    UpstreamId id;                    ///< Made from `name`.
    std::string name;                 ///< Unique among upstreams.
    ServiceId service;                ///< Made from `serviceName`.
    std::string serviceName;          ///< The one service it belongs to.
    ZoneId zone;                      ///< Made from `zoneName`.
    std::string zoneName;             ///< Its availability zone.
    Address address;                  ///< Unique among upstreams.
    std::uint32_t slots = 2;          ///< Requests and uploads it runs at once.
    std::uint32_t connections = 2000; ///< Feeds it holds at once.
    UpstreamState state = UpstreamState::Active;
    InstanceId instance;    ///< Needed to reach it with packets; invalid: not reached so.
    Duration warmup { 0 };  ///< How much longer it was slow after its start, when it said so.
    WallTime born;          ///< When it started, by its own clock; 1970: it does not say. Another
                            ///< start of the same instance holds nothing of the one before.
    std::string version;    ///< Of its software; empty where it does not say.
    std::uint32_t line = 0; ///< Where the table's text has it.

    /// Returns the cell it belongs to.
    [[nodiscard]] auto cell() const -> CellId { return cellOf(this->service, this->zone); }
};

} // namespace flamingograde
