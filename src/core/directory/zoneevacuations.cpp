/// Applies evacuation orders by revision.
#include "core/directory/zoneevacuations.h"

#include "core/directory/directoryepoch.h"

namespace flamingograde {

auto ZoneEvacuations::apply(const DirectoryUpdate &update, const ZoneSet &zones, MonoTime now)
        -> std::vector<ZoneEvacuation>
{
    std::vector<ZoneEvacuation> changed;
    for (const auto &order : update.evacuations) {
        const auto mayInsert =
                this->orders.size() < unlistedZonesMax || zones.count(order.zone) != 0;
        if (this->applyOrder(order, mayInsert, now)) {
            changed.push_back(order);
        }
    }
    if (update.isWhole()) {
        this->endAbsent(update, now, changed);
    }
    this->setEnds(now + update.removalsDeferredFor);
    return changed;
}

auto ZoneEvacuations::beginEpoch(std::uint32_t epoch) -> void
{
    for (auto &[zone, stored] : this->orders) {
        stored.order.at = { 0, epoch };
    }
}

/// Sets when the orders known only from an earlier epoch end, unless it is set already.
auto ZoneEvacuations::setEnds(MonoTime end) -> void
{
    for (auto &[zone, stored] : this->orders) {
        if (stored.order.inForce && isOfEarlierEpoch(stored.order.at)) {
            stored.endsAt = stored.endsAt.value_or(end);
        }
    }
}

auto ZoneEvacuations::endUnconfirmed(Revision at, MonoTime now) -> std::vector<ZoneEvacuation>
{
    std::vector<ZoneEvacuation> ended;
    for (auto &[zone, stored] : this->orders) {
        if (!stored.endsAt || now < *stored.endsAt) {
            continue;
        }
        stored.endsAt.reset();
        stored.order.inForce = false;
        stored.order.at = at;
        stored.since = now;
        --this->evacuatedZoneCount;
        ended.push_back(stored.order);
    }
    return ended;
}

/// @param mayInsert whether an order for a new zone is stored.
/// @returns whether the order changed whether its zone is evacuated.
auto ZoneEvacuations::applyOrder(const ZoneEvacuation &order, bool mayInsert, MonoTime now) -> bool
{
    const auto found = this->orders.find(order.zone);
    if (found == this->orders.end()) {
        if (mayInsert) {
            this->orders.emplace(order.zone, StoredOrder { order, now, std::nullopt });
            this->evacuatedZoneCount += order.inForce ? 1 : 0;
        }
        return order.inForce && mayInsert;
    }
    auto &entry = found->second;
    if (!(entry.order.at < order.at)) {
        return false;
    }
    const auto wasInForce = entry.order.inForce;
    this->evacuatedZoneCount += order.inForce ? 1 : 0;
    this->evacuatedZoneCount -= wasInForce ? 1 : 0;
    entry.order = order;
    entry.endsAt.reset();
    if (wasInForce == order.inForce) {
        return false;
    }
    entry.since = now;
    return true;
}

/// Ends the evacuations that a whole update does not contain, except those that a platform restored
/// from an older copy may have lost.
auto ZoneEvacuations::endAbsent(const DirectoryUpdate &update, MonoTime now,
                                std::vector<ZoneEvacuation> &changed) -> void
{
    ZoneSet present;
    for (const auto &order : update.evacuations) {
        present.insert(order.zone);
    }
    for (const auto &[zone, entry] : this->orders) {
        if (present.count(zone) != 0 || !entry.order.inForce || isOfEarlierEpoch(entry.order.at)) {
            continue;
        }
        auto ended = entry.order;
        ended.at = update.upTo;
        ended.inForce = false;
        if (this->applyOrder(ended, true, now)) {
            changed.push_back(ended);
        }
    }
}

auto ZoneEvacuations::isEvacuated(ZoneId zone) const -> bool
{
    if (this->evacuatedZoneCount == 0) {
        return false;
    }
    const auto found = this->orders.find(zone);
    return found != this->orders.end() && found->second.order.inForce;
}

auto ZoneEvacuations::changedAfter(Revision after) const -> std::vector<ZoneEvacuation>
{
    std::vector<ZoneEvacuation> newer;
    for (const auto &[zone, entry] : this->orders) {
        if (after < entry.order.at && (after.isValid() || entry.order.inForce)) {
            newer.push_back(entry.order);
        }
    }
    return newer;
}

} // namespace flamingograde
