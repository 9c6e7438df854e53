/// Places keys by the tables of the time when they were made.
#include "core/keys/placementhistory.h"

#include "core/keys/keyplacement.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <map>
#include <utility>

namespace flamingograde {

namespace {

using Placements = std::vector<TablePlacement>;

/// Returns the birth from which keys are placed by `entry`.
auto placedFrom(const TablePlacement &entry) -> WallTime
{
    return entry.published + config::placementDelay;
}

/// Forgets the oldest placement. What was moved by the next one is no longer known.
auto dropFirst(Placements &list) -> void
{
    list.erase(list.begin());
    auto &first = list.front();
    if (first.agreed) {
        first.agreed = std::max(*first.agreed, placedFrom(first));
    }
}

auto dropExpired(Placements &list, WallTime now) -> void
{
    while (list.size() > 1 && placedFrom(list[1]) + config::keyLifetime < now) {
        dropFirst(list);
    }
}

/// Forgets the oldest ones where there are too many to hand to another host.
auto dropExcess(Placements &list) -> void
{
    std::size_t cells = 0;
    for (const auto &entry : list) {
        cells += entry.zones.size();
    }
    while (list.size() > 1
           && (list.size() > config::placementTablesMax || cells > config::placementCellsMax)) {
        cells -= list.front().zones.size();
        dropFirst(list);
    }
}

/// Returns both lists as one, by revision, with nothing agreed.
auto unite(const Placements &ours, const Placements &others) -> Placements
{
    std::map<Revision, TablePlacement> united;
    for (const auto *list : { &ours, &others }) {
        for (const auto &entry : *list) {
            auto &known = united.emplace(entry.revision, entry).first->second;
            known.published = std::min(known.published, entry.published);
            known.agreed.reset();
        }
    }
    Placements result;
    for (auto &[revision, entry] : united) {
        result.push_back(std::move(entry));
    }
    return result;
}

/// Returns the entry at `index` of `list`, or null before the first.
auto before(const Placements &list, std::size_t index) -> const TablePlacement *
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

/// Takes over from `known` what was agreed there, where the same placement came before.
auto takeAgreed(Placements &list, const Placements &known) -> void
{
    std::size_t at = 0;
    for (std::size_t i = 0; i < list.size(); ++i) {
        while (at < known.size() && known[at].revision < list[i].revision) {
            ++at;
        }
        if (at == known.size()) {
            return;
        }
        const auto &word = known[at];
        const auto holds = isSame(&list[i], &word) && isSame(before(list, i), before(known, at));
        if (holds && word.agreed) {
            list[i].agreed = std::min(list[i].agreed.value_or(*word.agreed), *word.agreed);
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

auto PlacementHistory::find(const KeyQuestion &question) const -> KeyPlacement
{
    if (this->list.empty()) {
        return { ZoneId(), never };
    }
    const auto newest = this->list.size() - 1;
    const auto index = this->indexAt(question.birth.value_or(question.now));
    auto placed = this->placeBy(index, question);
    const auto &inForce = this->list[newest].zones;
    if (index != newest && !isActive(inForce, question.service, placed.zone)) {
        const auto moved = this->placeBy(newest, question);
        if (question.birth && *question.birth > moved.since + this->clockBound) {
            return moved;
        }
    }
    if (this->mayHaveMoved(index, question.service, placed.zone)) {
        placed.since = never;
    }
    return placed;
}

auto PlacementHistory::movedSince(ServiceId service, Revision told) const -> WallTime
{
    if (this->list.empty()) {
        return never;
    }
    const auto &first = this->list.front();
    auto since = told < first.revision ? first.agreed.value_or(never) : WallTime();
    for (std::size_t i = 1; i < this->list.size(); ++i) {
        if (!placesAlike(this->list[i - 1].zones, this->list[i].zones, service)) {
            since = std::max(since, this->list[i].agreed.value_or(never));
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
    auto united = unite(this->list, others);
    takeAgreed(united, this->list);
    takeAgreed(united, others);
    this->list = std::move(united);
    dropExpired(this->list, now);
    dropExcess(this->list);
    this->hash = digestOf(this->list);
}

auto PlacementHistory::agree(WallTime now) -> void
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

auto PlacementHistory::indexAt(WallTime time) const -> std::size_t
{
    auto index = this->list.size() - 1;
    while (index > 0 && placedFrom(this->list[index]) > time) {
        --index;
    }
    return index;
}

/// Places a key by one table. It may have been run elsewhere before the last table that moved it
/// was agreed; a key without a birth also until that table's placement began.
auto PlacementHistory::placeBy(std::size_t index, const KeyQuestion &question) const -> KeyPlacement
{
    const auto zoneBy = [&](std::size_t at) {
        return zoneOfKey(this->list[at].zones, question.service, question.key);
    };
    const auto zone = zoneBy(index);
    while (index > 0 && zoneBy(index - 1) == zone) {
        --index;
    }
    const auto &moving = this->list[index];
    // What the oldest table moved was told by the former home, if all know no older one either.
    const auto time = question.birth.value_or(question.now);
    if (index == 0 && moving.agreed && !(question.told < moving.revision)
        && time >= placedFrom(moving)) {
        return { zone, WallTime() };
    }
    const auto agreed = moving.agreed.value_or(never);
    const auto isSwitched = index > 0 && !question.birth;
    return { zone, isSwitched ? std::max(agreed, placedFrom(moving)) : agreed };
}

/// Returns whether a table after that at `index`, but before that in force, had no active upstream
/// in `zone`, so that a key of it may have been run elsewhere.
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
