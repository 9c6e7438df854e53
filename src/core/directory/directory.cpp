/// Takes updates, keeps tombstones and makes the look-ups.
#include "core/directory/directory.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace flamingograde {

namespace {

const ServicePool noPool;

/// Returns whether `a` has the older claim on a cookie that both have.
auto isOlder(const DirectoryRecord &a, const DirectoryRecord &b) -> bool
{
    if (a.created != b.created) {
        return a.created < b.created;
    }
    return a.upstream.instance < b.upstream.instance;
}

/// Returns whether a record tells of another start than the one before.
auto isOtherLife(const DirectoryRecord &before, const DirectoryRecord &record) -> bool
{
    return record.upstream.born != WallTime() && before.upstream.born != record.upstream.born;
}

/// Returns whether a record cannot be of the upstream that has its instance: two ids end in one
/// number, or something else wrote over its entry. In one life no upstream changes its service.
auto isForeign(const UpstreamEntry &entry, const DirectoryRecord &record) -> bool
{
    const auto &known = entry.record.upstream;
    const auto isSameLife =
            entry.presence == Presence::Listed && !isOtherLife(entry.record, record);
    return known.name != record.upstream.name
           || (isSameLife && known.service != record.upstream.service);
}

/// Returns whether an upstream that was not leaving showed life so lately that it did not die.
///
/// Guards open flows of living upstreams whose leases lapsed behind a cut: on six hosts whose zone
/// is cut off for some seconds, 9 to 20 non-idempotent requests failed by a reset within 0.1 s of
/// the cut's end, each time.
auto showsLife(const UpstreamEntry &entry, MonoTime now) -> bool
{
    return entry.record.upstream.state == UpstreamState::Active
           && entry.evidence.heard != MonoTime() && now - entry.evidence.heard < config::livingFor;
}

/// Adds to `had` what it lacks of the services of `row`.
auto addServices(const PacketRow &row, std::vector<ServiceId> &had) -> void
{
    for (const auto &share : row.shares) {
        if (std::find(had.begin(), had.end(), share.service) == had.end()) {
            had.push_back(share.service);
        }
    }
}

} // namespace

auto Directory::canTake(const DirectoryUpdate &update) const -> bool
{
    return update.upTo.isValid() && !(this->known < update.after);
}

auto Directory::isOpen(const UpstreamEntry &entry) const -> bool
{
    const auto &upstream = entry.record.upstream;
    return entry.presence != Presence::Removed && entry.ownsCookie && !entry.isFaulty
           && !entry.isDoubted && upstream.state == UpstreamState::Active
           && !this->zoneEvacuations.isEvacuated(upstream.zone);
}

auto Directory::acceptsOpening(const UpstreamEntry &entry) const -> bool
{
    return this->isOpen(entry) && entry.hasColdRoom();
}

auto Directory::coldLimitOf(ServiceId service) const -> const ColdLimit *
{
    const auto found = this->coldLimits.find(service);
    return found == this->coldLimits.end() ? nullptr : &found->second;
}

/// Updates whether a cold limit applies to an entry.
auto Directory::updateColdLimit(UpstreamEntry &entry, MonoTime now) -> void
{
    const auto isColdLimited =
            now < entry.warmAt && this->coldLimitOf(entry.record.upstream.service) != nullptr;
    if (isColdLimited == entry.isColdLimited) {
        return;
    }
    entry.isColdLimited = isColdLimited;
    entry.allowance = ColdAllowance();
    this->coldLimited += isColdLimited ? 1 : 0;
    this->coldLimited -= isColdLimited ? 0 : 1;
    this->poolsStale = true;
}

auto Directory::liftExpiredColdLimits(MonoTime now) -> void
{
    if (this->coldLimited == 0) {
        return;
    }
    for (auto &entry : this->slots) {
        if (entry.isColdLimited) {
            this->updateColdLimit(entry, now);
        }
    }
}

/// Assumes that upstreams of a zone whose records are older than `at` are cold: they may have
/// become cold while they received no requests, and their next heartbeat updates the record.
auto Directory::assumeZoneCold(ZoneId zone, Revision at, MonoTime now) -> void
{
    for (auto &entry : this->slots) {
        const auto *limit = this->coldLimitOf(entry.record.upstream.service);
        const auto isOutdated = entry.record.changed < at;
        if (limit != nullptr && isOutdated && entry.record.upstream.zone == zone) {
            entry.warmAt = std::max(entry.warmAt, now + limit->coldTime);
            this->updateColdLimit(entry, now);
        }
    }
}

auto Directory::take(const DirectoryUpdate &update, MonoTime now) -> DirectoryChanges
{
    DirectoryChanges changes;
    if (!(this->known < update.upTo)) {
        return changes;
    }
    for (const auto &record : update.present) {
        this->takeRecord(record, now, changes);
    }
    for (const auto &removal : update.removed) {
        this->takeRemoval(removal, update.settlesIn, now, changes);
    }
    for (const auto &fault : update.faulty) {
        this->takeFault(fault, changes);
    }
    if (update.isWhole()) {
        this->takeAbsent(update, now, changes);
    }
    this->takeRows(update.rows, now, changes);
    this->takeEvacuations(update, now, changes);
    this->known = update.upTo;
    changes.advanced = true;
    this->poolsStale = true;
    return changes;
}

auto Directory::takeRecord(const DirectoryRecord &record, MonoTime now, DirectoryChanges &changes)
        -> void
{
    const auto found = this->byInstance.find(record.upstream.instance);
    const auto isNew = found == this->byInstance.end();
    auto &entry = isNew ? this->add(record) : this->slots[found->second];
    if (!isNew && !(entry.newest < record.changed)) {
        return;
    }
    if (!isNew && isForeign(entry, record)) {
        this->takeFault({ record.upstream.instance, record.changed }, changes);
        return;
    }
    // The platform's order of its entries decides which start is the newer: `born` is read off a
    // clock that may step back, and only tells one start from another.
    if (!isNew && isOtherLife(entry.record, record)) {
        this->beginLife(entry, changes);
    }
    const auto wasActive = entry.record.upstream.state == UpstreamState::Active;
    const auto wasListed = !isNew && entry.presence == Presence::Listed;
    this->unsettled -= !isNew && !wasListed ? 1 : 0;
    this->listed += wasListed ? 0 : 1;
    entry.record = record;
    entry.newest = record.changed;
    entry.presence = Presence::Listed;
    entry.isFaulty = false;
    entry.isDoubted = false;
    entry.warmAt = now + record.upstream.warmup;
    this->updateColdLimit(entry, now);
    if (!wasListed) {
        entry.since = now;
        entry.evidence.forgetSilence();
        this->claimCookie(entry, changes);
        changes.listed.push_back(this->indexOf(entry));
    }
    if (wasActive && record.upstream.state == UpstreamState::Draining) {
        changes.leaving.push_back(this->indexOf(entry));
    }
}

/// Open flows of a former life are not reset here: their packets reach the new one, which resets
/// what it does not hold half a round trip later, and a flow that another host carried may be new.
auto Directory::beginLife(UpstreamEntry &entry, DirectoryChanges &changes) -> void
{
    ++entry.life;
    entry.evidence = UpstreamEvidence();
    entry.allowance = ColdAllowance();
    changes.restarted.push_back(this->indexOf(entry));
}

auto Directory::takeFault(const DirectoryFault &fault, DirectoryChanges &changes) -> void
{
    const auto found = this->byInstance.find(fault.instance);
    if (found == this->byInstance.end()) {
        return;
    }
    auto &entry = this->slots[found->second];
    if (!(entry.newest < fault.at)) {
        return;
    }
    entry.newest = fault.at;
    if (!std::exchange(entry.isFaulty, true)) {
        changes.faulty.push_back(this->indexOf(entry));
    }
}

auto Directory::takeRemoval(const DirectoryRemoval &removal, Duration settlesIn, MonoTime now,
                            DirectoryChanges &changes) -> void
{
    const auto found = this->byInstance.find(removal.instance);
    if (found == this->byInstance.end()) {
        return;
    }
    auto &entry = this->slots[found->second];
    if (!(entry.newest < removal.at) || entry.presence != Presence::Listed) {
        return;
    }
    entry.newest = removal.at;
    --this->listed;
    ++this->unsettled;
    entry.isDoubted = settlesIn <= Duration(0);
    if (entry.isDoubted && !showsLife(entry, now)) {
        this->remove(entry, now, changes);
        return;
    }
    entry.presence = Presence::Missing;
    entry.since = now;
    entry.settles = now + (entry.isDoubted ? Duration(config::reappearTime) : settlesIn);
    changes.missing.push_back(this->indexOf(entry));
}

auto Directory::takeAbsent(const DirectoryUpdate &update, MonoTime now, DirectoryChanges &changes)
        -> void
{
    std::unordered_set<InstanceId> present;
    for (const auto &record : update.present) {
        present.insert(record.upstream.instance);
    }
    for (const auto &fault : update.faulty) {
        present.insert(fault.instance);
    }
    std::vector<InstanceId> absent;
    for (const auto &[instance, index] : this->byInstance) {
        if (present.count(instance) == 0) {
            absent.push_back(instance);
        }
    }
    for (const auto instance : absent) {
        this->takeRemoval({ instance, update.upTo }, update.settlesIn, now, changes);
    }
}

auto Directory::takeRows(const std::shared_ptr<const PacketRows> &rows, MonoTime now,
                         DirectoryChanges &changes) -> void
{
    if (rows == nullptr
        || (this->published != nullptr && !(this->published->changed < rows->changed))) {
        return;
    }
    auto before = std::exchange(this->rowsByAddress, {});
    this->firstRows = this->published == nullptr ? now : this->firstRows;
    this->published = rows;
    this->rowsByAddress.reserve(rows->rows.size());
    for (const auto &row : rows->rows) {
        RowEntry entry { &row, std::move(before[row.address].had) };
        addServices(row, entry.had);
        this->rowsByAddress.emplace(row.address, std::move(entry));
    }
    this->coldLimits.clear();
    for (const auto &limit : rows->coldLimits) {
        if (this->enforcesColdLimits) {
            this->coldLimits.emplace(limit.service, limit);
        }
    }
    for (auto &entry : this->slots) {
        this->updateColdLimit(entry, now);
    }
    changes.rowsChanged = true;
}

auto Directory::takeEvacuations(const DirectoryUpdate &update, MonoTime now,
                                DirectoryChanges &changes) -> void
{
    ZoneEvacuations::ZoneSet zones;
    if (!update.evacuations.empty()) {
        for (const auto &entry : this->slots) {
            zones.insert(entry.record.upstream.zone);
        }
    }
    changes.evacuations = this->zoneEvacuations.take(update, zones, now);
    for (const auto &order : changes.evacuations) {
        if (!order.inForce) {
            this->assumeZoneCold(order.zone, order.at, now);
        }
    }
}

auto Directory::add(const DirectoryRecord &record) -> UpstreamEntry &
{
    std::uint32_t index = 0;
    if (this->freeSlots.empty()) {
        index = static_cast<std::uint32_t>(this->slots.size());
        this->slots.emplace_back();
    } else {
        index = this->freeSlots.back();
        this->freeSlots.pop_back();
        this->slots[index] = UpstreamEntry();
    }
    auto &entry = this->slots[index];
    entry.cookie = Cookie::of(record.upstream.instance);
    entry.isNear = record.upstream.zone == this->ownZone;
    this->byInstance.emplace(record.upstream.instance, index);
    return entry;
}

auto Directory::claimCookie(UpstreamEntry &entry, DirectoryChanges &changes) -> void
{
    const auto index = this->indexOf(entry);
    const auto [found, isFree] = this->cookies.emplace(entry.cookie, index);
    entry.ownsCookie = true;
    if (isFree || found->second == index) {
        return;
    }
    auto &other = this->slots[found->second];
    if (isOlder(entry.record, other.record)) {
        other.ownsCookie = false;
        changes.sharedCookie.push_back(found->second);
        found->second = index;
    } else {
        entry.ownsCookie = false;
        changes.sharedCookie.push_back(index);
    }
}

auto Directory::releaseCookie(const UpstreamEntry &entry) -> void
{
    const auto found = this->cookies.find(entry.cookie);
    if (found == this->cookies.end() || found->second != this->indexOf(entry)) {
        return;
    }
    this->cookies.erase(found);
    DirectoryChanges none;
    for (auto &other : this->slots) {
        const auto isNext = other.cookie == entry.cookie && !other.ownsCookie && &other != &entry;
        if (isNext && other.record.upstream.instance.isValid()) {
            this->claimCookie(other, none);
        }
    }
}

auto Directory::remove(UpstreamEntry &entry, MonoTime now, DirectoryChanges &changes) -> void
{
    entry.presence = Presence::Removed;
    entry.since = now;
    changes.removed.push_back(this->indexOf(entry));
    this->poolsStale = true;
}

auto Directory::settle(MonoTime now) -> DirectoryChanges
{
    DirectoryChanges changes;
    if (this->unsettled == 0) {
        return changes;
    }
    for (auto &entry : this->slots) {
        if (!entry.record.upstream.instance.isValid()) {
            continue;
        }
        if (entry.presence == Presence::Missing && now >= entry.settles) {
            this->settleMissing(entry, now, changes);
        } else if (entry.presence == Presence::Removed
                   && now - entry.since >= config::tombstoneTime) {
            this->forget(entry);
        }
    }
    return changes;
}

/// What is still missing after its time gets no new flows any more; open ones go on while it
/// answers them.
auto Directory::settleMissing(UpstreamEntry &entry, MonoTime now, DirectoryChanges &changes) -> void
{
    if (!showsLife(entry, now)) {
        this->remove(entry, now, changes);
        return;
    }
    entry.isDoubted = true;
    entry.settles = entry.evidence.heard + config::livingFor;
    this->poolsStale = true;
}

auto Directory::forget(UpstreamEntry &entry) -> void
{
    this->forgotten = std::max(this->forgotten, entry.newest);
    this->releaseCookie(entry);
    this->byInstance.erase(entry.record.upstream.instance);
    this->freeSlots.push_back(this->indexOf(entry));
    this->coldLimited -= entry.isColdLimited ? 1 : 0;
    entry = UpstreamEntry();
    --this->unsettled;
    this->poolsStale = true;
}

auto Directory::updateSince(Revision have, MonoTime now) const -> DirectoryUpdate
{
    DirectoryUpdate update;
    const auto isWhole = !have.isValid() || have < this->forgotten;
    update.after = isWhole ? Revision() : have;
    update.upTo = this->known;
    for (const auto &entry : this->slots) {
        if (!entry.record.upstream.instance.isValid() || !(update.after < entry.newest)) {
            continue;
        }
        if (entry.presence == Presence::Listed) {
            update.present.push_back(entry.record);
            if (entry.isFaulty) {
                update.faulty.push_back({ entry.record.upstream.instance, entry.newest });
            }
            continue;
        }
        update.removed.push_back({ entry.record.upstream.instance, entry.newest });
        if (entry.presence == Presence::Missing && !entry.isDoubted) {
            update.settlesIn = std::max(update.settlesIn, Duration(entry.settles - now));
        }
    }
    if (this->published != nullptr && update.after < this->published->changed) {
        update.rows = this->published;
    }
    update.evacuations = this->zoneEvacuations.changedAfter(update.after);
    return update;
}

auto Directory::rowAt(Address address) const -> const RowEntry *
{
    const auto found = this->rowsByAddress.find(address);
    return found == this->rowsByAddress.end() ? nullptr : &found->second;
}

auto Directory::byCookie(Cookie cookie) -> UpstreamEntry *
{
    const auto found = this->cookies.find(cookie);
    return found == this->cookies.end() ? nullptr : &this->slots[found->second];
}

auto Directory::byCookie(Cookie cookie) const -> const UpstreamEntry *
{
    const auto found = this->cookies.find(cookie);
    return found == this->cookies.end() ? nullptr : &this->slots[found->second];
}

auto Directory::poolOf(ServiceId service) -> const ServicePool &
{
    if (this->poolsStale) {
        this->makePools();
    }
    const auto found = this->pools.find(service);
    return found == this->pools.end() ? noPool : found->second;
}

auto Directory::beginRequest(UpstreamEntry &entry) -> void
{
    ++entry.evidence.busy;
    if (entry.isPooled) {
        ++this->pools[entry.record.upstream.service].nearBusy;
    }
}

auto Directory::endRequest(UpstreamEntry &entry) -> void
{
    if (entry.evidence.busy == 0) {
        return;
    }
    --entry.evidence.busy;
    if (entry.isPooled) {
        --this->pools[entry.record.upstream.service].nearBusy;
    }
}

auto Directory::makePools() -> void
{
    this->poolsStale = false;
    for (auto &[service, pool] : this->pools) {
        pool.near.clear();
        pool.far.clear();
        pool.cold.clear();
        pool.silent.clear();
        pool.nearSlots = 0;
        pool.nearBusy = 0;
    }
    for (auto &entry : this->slots) {
        entry.isPooled = false;
        if (entry.record.upstream.instance.isValid() && this->isOpen(entry)) {
            this->pool(entry);
        }
    }
}

auto Directory::pool(UpstreamEntry &entry) -> void
{
    auto &pool = this->pools[entry.record.upstream.service];
    const auto index = this->indexOf(entry);
    if (entry.isColdLimited) {
        if (entry.allowance.hasRate() && !entry.evidence.isSilent()) {
            pool.cold.push_back(index);
        }
        return;
    }
    // A missing one counts as listed until its removal is believed: when the platform is back after
    // an outage most upstreams of a service lack for some 100 ms, and all new flows at the few that
    // registered first filled their queues (12 of 12,600 requests refused, a store away for 9 s).
    if (!entry.evidence.isSilent()) {
        (entry.isNear ? pool.near : pool.far).push_back(index);
        entry.isPooled = entry.isNear;
        pool.nearSlots += entry.isNear ? entry.record.upstream.slots : 0;
        pool.nearBusy += entry.isNear ? entry.evidence.busy : 0;
        return;
    }
    pool.silent.push_back(index);
}

} // namespace flamingograde
