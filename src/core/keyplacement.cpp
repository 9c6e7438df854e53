/// Places idempotency keys in zones by weighted rendezvous.
#include "core/keyplacement.h"

#include "core/idempotencykey.h"
#include "core/rendezvous.h"

#include <flamingograde/table.h>

#include <algorithm>

namespace flamingograde {

auto activeSlots(const Table &table, ServiceId service, ZoneId zone) -> double
{
    double slots = 0;
    for (const auto index : table.upstreamsOf(cellOf(service, zone))) {
        const auto &upstream = table.upstreams()[index];
        if (upstream.state == UpstreamState::Active) {
            slots += upstream.slots;
        }
    }
    return slots;
}

auto placesAlike(const Table &a, const Table &b, ServiceId service) -> bool
{
    const auto isAlike = [&](ZoneId zone) {
        return activeSlots(a, service, zone) == activeSlots(b, service, zone);
    };
    const auto &ofA = a.zonesOf(service);
    const auto &ofB = b.zonesOf(service);
    return std::all_of(ofA.begin(), ofA.end(), isAlike)
           && std::all_of(ofB.begin(), ofB.end(), isAlike);
}

auto zoneOfKey(const Table &table, ServiceId service, std::string_view key) -> ZoneId
{
    const auto zoneName = keyZoneNameOf(key);
    if (!zoneName.empty()) {
        const auto zone = ZoneId::ofName(zoneName);
        if (activeSlots(table, service, zone) > 0) {
            return zone;
        }
    }
    const auto &zones = table.zonesOf(service);
    std::vector<RendezvousNode> nodes;
    nodes.reserve(zones.size());
    for (const auto zone : zones) {
        nodes.push_back({ zone.value(), activeSlots(table, service, zone) });
    }
    const auto winner = rendezvousPick(hashName(key), nodes);
    return winner == rendezvousNone ? ZoneId() : zones[winner];
}

} // namespace flamingograde
