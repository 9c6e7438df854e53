/// Places keys by the tables that were in effect when the keys were made.
#include "core/keys/placementhistory.h"

#include "core/keys/keyplacement.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <map>
#include <utility>

namespace flamingograde {

namespace {

using Placements = std::vector<TablePlacement>;

/// Returns the birth time from which keys are placed by `entry`.
auto effectiveFrom(const TablePlacement &entry) -> WallTime
{
    return entry.published + config::placementDelay;
}

/// Removes the oldest placement. Which keys the next one moved is then no longer known, so the time
/// of agreement of the next one is raised to the time when it took effect.
auto dropOldest(Placements &list) -> void
{
    list.erase(list.begin());
    auto &first = list.front();
    if (first.agreed) {
        first.agreed = std::max(*first.agreed, effectiveFrom(first));
    }
}

auto dropExpired(Placements &list, WallTime now) -> void
{
    while (list.size() > 1 && effectiveFrom(list[1]) + config::keyLifetime < now) {
        dropOldest(list);
    }
}

/// Removes the oldest placements while there are too many to send to another host.
auto dropExcess(Placements &list) -> void
{
    std::size_t cells = 0;
    for (const auto &entry : list) {
        cells += entry.zones.size();
    }
    while (list.size() > 1
           && (list.size() > config::placementTablesMax || cells > config::placementCellsMax)) {
        cells -= list.front().zones.size();
        dropOldest(list);
    }
}

/// Merges both lists, sorted by revision, and clears all times of agreement. Of two publication
/// times of a revision the earlier one is kept.
auto mergeLists(const Placements &ours, const Placements &others) -> Placements
{
    std::map<Revision, TablePlacement> merged;
    for (const auto *list : { &ours, &others }) {
        for (const auto &entry : *list) {
            auto &known = merged.emplace(entry.revision, entry).first->second;
            known.published = std::min(known.published, entry.published);
            known.agreed.reset();
        }
    }
    Placements result;
    for (auto &[revision, entry] : merged) {
        result.push_back(std::move(entry));
    }
    return result;
}

/// Returns the entry before `index` in `list`, or null if there is none.
auto predecessorOf(const Placements &list, std::size_t index) -> const TablePlacement *
{
    return index == 0 ? nullptr : &list[index - 1];
}

auto isSame(const TablePlacement *a, const TablePlacement *b) -> bool
{
    if (a == nullptr || b == nullptr) {
        return a == b;
    }
    return a->revision == b->revision && a->published == b->published && a->zones == b->zones;
}

/// Copies times of agreement from `known` to the entries of `list` that are the same there and have
/// the same predecessor.
auto copyAgreed(Placements &list, const Placements &known) -> void
{
    std::size_t knownIndex = 0;
    for (std::size_t i = 0; i < list.size(); ++i) {
        while (knownIndex < known.size() && known[knownIndex].revision < list[i].revision) {
            ++knownIndex;
        }
        if (knownIndex == known.size()) {
            return;
        }
        const auto &candidate = known[knownIndex];
        const auto isUnchanged =
                isSame(&list[i], &candidate)
                && isSame(predecessorOf(list, i), predecessorOf(known, knownIndex));
        if (isUnchanged && candidate.agreed) {
            list[i].agreed =
                    std::min(list[i].agreed.value_or(*candidate.agreed), *candidate.agreed);
        }
    }
}

auto append(std::string &bytes, std::uint64_t number) -> void
{
    bytes.append(reinterpret_cast<const char *>(&number), sizeof(number));
}

auto digestOf(const Placements &list) -> std::uint64_t
{
    std::string bytes;
    for (const auto &entry : list) {
        append(bytes, entry.revision.number);
        append(bytes, static_cast<std::uint64_t>(entry.published.time_since_epoch().count()));
        for (const auto &zone : entry.zones) {
            append(bytes, zone.service.value());
            append(bytes, zone.zone.value());
            append(bytes, static_cast<std::uint64_t>(zone.slots));
        }
    }
    return hashName(bytes);
}

} // namespace

auto PlacementHistory::find(const PlacementQuery &query) const -> KeyPlacement
{
    if (this->list.empty()) {
        return { ZoneId(), unknownSince };
    }
    const auto newest = this->list.size() - 1;
    const auto index = this->indexEffectiveAt(query.birth.value_or(query.now));
    auto placement = this->placeByTable(index, query);
    const auto &zonesInForce = this->list[newest].zones;
    if (index != newest && !isActive(zonesInForce, query.service, placement.zone)) {
        const auto current = this->placeByTable(newest, query);
        if (query.birth && *query.birth > current.since + this->clockBound) {
            return current;
        }
    }
    if (this->mayHaveMoved(index, query.service, placement.zone)) {
        placement.since = unknownSince;
    }
    return placement;
}

auto PlacementHistory::latestMove(ServiceId service, Revision coveredRevision) const -> WallTime
{
    if (this->list.empty()) {
        return unknownSince;
    }
    const auto &first = this->list.front();
    auto since =
            coveredRevision < first.revision ? first.agreed.value_or(unknownSince) : WallTime();
    for (std::size_t i = 1; i < this->list.size(); ++i) {
        if (!haveSamePlacement(this->list[i - 1].zones, this->list[i].zones, service)) {
            since = std::max(since, this->list[i].agreed.value_or(unknownSince));
        }
    }
    return since;
}

auto PlacementHistory::merge(std::vector<TablePlacement> others, WallTime now) -> void
{
    if (others.empty()) {
        return;
    }
    dropExpired(others, now);
    auto merged = mergeLists(this->list, others);
    copyAgreed(merged, this->list);
    copyAgreed(merged, others);
    this->list = std::move(merged);
    dropExpired(this->list, now);
    dropExcess(this->list);
    this->hash = digestOf(this->list);
}

auto PlacementHistory::markAgreed(WallTime now) -> void
{
    for (auto &entry : this->list) {
        entry.agreed = entry.agreed.value_or(now);
    }
}

auto PlacementHistory::expire(WallTime now) -> void
{
    const auto size = this->list.size();
    dropExpired(this->list, now);
    if (this->list.size() != size) {
        this->hash = digestOf(this->list);
    }
}

auto PlacementHistory::isAgreed() const -> bool
{
    return std::all_of(this->list.begin(), this->list.end(),
                       [](const auto &entry) { return entry.agreed.has_value(); });
}

auto PlacementHistory::indexEffectiveAt(WallTime time) const -> std::size_t
{
    auto index = this->list.size() - 1;
    while (index > 0 && effectiveFrom(this->list[index]) > time) {
        --index;
    }
    return index;
}

/// Places a key by the table at `index`. Until all hosts agreed on the last table that moved the
/// key, it may have been run in another zone. A key without a birth time is placed by the current
/// time, so it may have been run there also until that table took effect.
auto PlacementHistory::placeByTable(std::size_t index, const PlacementQuery &query) const
        -> KeyPlacement
{
    const auto zoneUnder = [&](std::size_t tableIndex) {
        return zoneOfKey(this->list[tableIndex].zones, query.service, query.key);
    };
    const auto zone = zoneUnder(index);
    while (index > 0 && zoneUnder(index - 1) == zone) {
        --index;
    }
    const auto &movingTable = this->list[index];
    // The moves by the oldest known table are accounted for by the caller if `coveredRevision`
    // includes that table and all hosts have agreed on it.
    const auto time = query.birth.value_or(query.now);
    if (index == 0 && movingTable.agreed && !(query.coveredRevision < movingTable.revision)
        && time >= effectiveFrom(movingTable)) {
        return { zone, WallTime() };
    }
    const auto agreed = movingTable.agreed.value_or(unknownSince);
    const auto isMovedWithoutBirth = index > 0 && !query.birth;
    return { zone, isMovedWithoutBirth ? std::max(agreed, effectiveFrom(movingTable)) : agreed };
}

/// Returns whether a table between the one at `index` and the one in force had no active upstream
/// of `service` in `zone`, so that a key of that zone may have been run in another one.
auto PlacementHistory::mayHaveMoved(std::size_t index, ServiceId service, ZoneId zone) const -> bool
{
    for (auto later = index + 1; later + 1 < this->list.size(); ++later) {
        if (!isActive(this->list[later].zones, service, zone)) {
            return true;
        }
    }
    return false;
}

} // namespace flamingograde
