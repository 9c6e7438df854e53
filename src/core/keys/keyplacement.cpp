/// Places idempotency keys in zones by weighted rendezvous hashing.
#include "core/keys/keyplacement.h"

#include "core/keys/idempotencykey.h"
#include "core/rendezvous.h"

#include <flamingograde/table.h>

#include <algorithm>
#include <map>
#include <utility>

namespace flamingograde {

namespace {

/// Compares entries by service only, to find all zones of a service in a sorted list.
struct CompareByService
{
    auto operator()(const ZoneSlots &entry, ServiceId service) const -> bool
    {
        return entry.service < service;
    }
    auto operator()(ServiceId service, const ZoneSlots &entry) const -> bool
    {
        return service < entry.service;
    }
};

} // namespace

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

auto activeZones(const Table &table) -> std::vector<ZoneSlots>
{
    std::map<std::pair<ServiceId, ZoneId>, double> slotSums;
    for (const auto &upstream : table.upstreams()) {
        if (upstream.state == UpstreamState::Active) {
            slotSums[{ upstream.service, upstream.zone }] += upstream.slots;
        }
    }
    std::vector<ZoneSlots> zones;
    zones.reserve(slotSums.size());
    for (const auto &[place, slots] : slotSums) {
        zones.push_back({ place.first, place.second, slots });
    }
    return zones;
}

auto isActive(const std::vector<ZoneSlots> &zones, ServiceId service, ZoneId zone) -> bool
{
    const auto [first, last] =
            std::equal_range(zones.begin(), zones.end(), service, CompareByService {});
    return std::any_of(first, last, [zone](const auto &entry) { return entry.zone == zone; });
}

auto haveSamePlacement(const std::vector<ZoneSlots> &a, const std::vector<ZoneSlots> &b,
                       ServiceId service) -> bool
{
    const auto [firstA, lastA] = std::equal_range(a.begin(), a.end(), service, CompareByService {});
    const auto [firstB, lastB] = std::equal_range(b.begin(), b.end(), service, CompareByService {});
    return std::equal(firstA, lastA, firstB, lastB);
}

auto zoneOfKey(const std::vector<ZoneSlots> &zones, ServiceId service, std::string_view key)
        -> ZoneId
{
    const auto zoneName = keyZoneNameOf(key);
    if (!zoneName.empty() && isActive(zones, service, ZoneId::ofName(zoneName))) {
        return ZoneId::ofName(zoneName);
    }
    const auto [first, last] =
            std::equal_range(zones.begin(), zones.end(), service, CompareByService {});
    std::vector<RendezvousNode> nodes;
    nodes.reserve(static_cast<std::size_t>(last - first));
    std::transform(first, last, std::back_inserter(nodes), [](const auto &entry) {
        return RendezvousNode { entry.zone.value(), entry.slots };
    });
    const auto winner = rendezvousPick(hashName(key), nodes);
    return winner == rendezvousNone ? ZoneId() : ZoneId(nodes[winner].id);
}

auto zoneOfKey(const Table &table, ServiceId service, std::string_view key) -> ZoneId
{
    return zoneOfKey(activeZones(table), service, key);
}

} // namespace flamingograde
