/// Applies updates, keeps tombstones and maintains the indexes and pools.
#include "core/directory/directory.h"

#include "core/directory/directoryepoch.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace flamingograde {

namespace {

/// Returns whether `a` takes precedence over `b` for a cookie that both map to: the record that
/// was created first, then the lower instance id.
auto takesPrecedence(const DirectoryRecord &a, const DirectoryRecord &b) -> bool
{
    if (a.created != b.created) {
        return a.created < b.created;
    }
    return a.upstream.instance < b.upstream.instance;
}

/// Returns whether `record` was written after another start of the process than `before`.
auto isRestart(const DirectoryRecord &before, const DirectoryRecord &record) -> bool
{
    return record.upstream.startedAt != WallTime()
           && before.upstream.startedAt != record.upstream.startedAt;
}

/// Returns whether a record cannot belong to the upstream known under its instance: two upstream
/// ids map to the same instance number, or another writer overwrote the platform's entry. An
/// upstream never changes its name, and changes its service only by a restart.
auto isConflicting(const UpstreamEntry &entry, const DirectoryRecord &record) -> bool
{
    const auto &known = entry.record.upstream;
    const auto isSameProcess =
            entry.presence == Presence::Listed && !isRestart(entry.record, record);
    return known.name != record.upstream.name
           || (isSameProcess && known.service != record.upstream.service);
}

/// Returns whether an active upstream showed a sign of life within `validity`, so that its removal
/// does not mean that it stopped.
///
/// Protects open flows of running upstreams whose leases expired during a network partition. If
/// such removals are applied at once, flows are reset: on six hosts whose zone was cut off for
/// some seconds, 9 to 20 non-idempotent requests failed by a reset within 0.1 s of each
/// partition's end.
auto showedLifeRecently(const UpstreamEntry &entry, MonoTime now, Duration validity) -> bool
{
    return entry.record.upstream.state == UpstreamState::Active
           && entry.evidence.lastHeardAt != MonoTime()
           && now - entry.evidence.lastHeardAt < validity;
}

} // namespace

auto Directory::canApply(const DirectoryUpdate &update) const -> bool
{
    return update.upTo.isValid() && !(this->knownRevision < update.after);
}

auto Directory::acceptsNewFlows(const UpstreamEntry &entry) const -> bool
{
    const auto &upstream = entry.record.upstream;
    return entry.presence != Presence::Removed && entry.ownsCookie && !entry.isFaulty
           && !entry.isRemovalContested && upstream.state == UpstreamState::Active
           && !this->zoneEvacuations.isEvacuated(upstream.zone);
}

auto Directory::acceptsOpening(const UpstreamEntry &entry) const -> bool
{
    return this->acceptsNewFlows(entry) && entry.coldLimitAllowsFlow();
}

auto Directory::coldLimitOf(ServiceId service) const -> const ColdLimit *
{
    const auto found = this->coldLimits.find(service);
    return found == this->coldLimits.end() ? nullptr : &found->second;
}

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
    for (auto &entry : this->entrySlots) {
        if (entry.isColdLimited) {
            this->updateColdLimit(entry, now);
        }
    }
}

/// Assumes that upstreams of a zone whose records are older than `at` are cold: they may have
/// become cold while they received no requests, and their next heartbeat updates the record.
auto Directory::assumeZoneCold(ZoneId zone, Revision at, MonoTime now) -> void
{
    for (auto &entry : this->entrySlots) {
        const auto *limit = this->coldLimitOf(entry.record.upstream.service);
        const auto isOutdated = entry.record.changed < at;
        if (limit != nullptr && isOutdated && entry.record.upstream.zone == zone) {
            entry.warmAt = std::max(entry.warmAt, now + limit->coldTime);
            this->updateColdLimit(entry, now);
        }
    }
}

auto Directory::assumeZonesCold(const std::vector<ZoneEvacuation> &ended, MonoTime now) -> void
{
    for (const auto &order : ended) {
        if (!order.inForce) {
            this->assumeZoneCold(order.zone, order.at, now);
        }
    }
}

auto Directory::apply(const DirectoryUpdate &update, MonoTime now) -> DirectoryChanges
{
    DirectoryChanges changes;
    if (!(this->knownRevision < update.upTo) || update.upTo.epoch < this->epoch) {
        return changes;
    }
    if (this->epoch < update.upTo.epoch) {
        this->beginEpoch(update.upTo.epoch);
    }
    this->applyEntries(update, now, changes);
    if (update.isWhole()) {
        this->removeAbsent(update, now, changes);
    }
    this->applyRows(update.rows, now, changes);
    this->sendKeptRowsOn(update.upTo);
    this->applyEvacuations(update, now, changes);
    this->knownRevision = update.upTo;
    changes.advanced = true;
    this->poolsStale = true;
    return changes;
}

/// Makes rows of an earlier epoch that are newer than the platform's count as changed at `at`, so
/// that hosts that lack them are sent them.
auto Directory::sendKeptRowsOn(Revision at) -> void
{
    const auto *rows = this->packetRows.current();
    if (rows != nullptr && !rows->changed.isValid()) {
        this->packetRows.setChanged(at);
    }
}

auto Directory::beginEpoch(std::uint32_t newEpoch) -> void
{
    const Revision before { 0, newEpoch };
    this->epoch = newEpoch;
    this->newestForgotten = before;
    for (auto &entry : this->entrySlots) {
        entry.newest = before;
        entry.record.changed = before;
        entry.record.created = before;
    }
    this->packetRows.setChanged(before);
    this->zoneEvacuations.beginEpoch(newEpoch);
}

auto Directory::applyPage(const DirectoryUpdate &page, MonoTime now) -> DirectoryChanges
{
    DirectoryChanges changes;
    if (page.upTo.epoch < this->epoch) {
        return changes;
    }
    if (this->epoch < page.upTo.epoch) {
        this->beginEpoch(page.upTo.epoch);
    }
    this->applyEntries(page, now, changes);
    this->applyRows(page.rows, now, changes);
    this->applyEvacuations(page, now, changes);
    this->poolsStale = true;
    return changes;
}

auto Directory::applyEntries(const DirectoryUpdate &update, MonoTime now, DirectoryChanges &changes)
        -> void
{
    for (const auto &record : update.present) {
        this->applyRecord(record, now, changes);
    }
    for (const auto &removal : update.removed) {
        this->applyRemoval(removal, update.removalsDeferredFor, now, changes);
    }
    for (const auto &fault : update.faulty) {
        this->applyFault(fault, changes);
    }
}

auto Directory::applyRecord(const DirectoryRecord &record, MonoTime now, DirectoryChanges &changes)
        -> void
{
    const auto found = this->byInstance.find(record.upstream.instance);
    const auto isNew = found == this->byInstance.end();
    auto &entry = isNew ? this->add(record) : this->entrySlots[found->second];
    if (!isNew && !(entry.newest < record.changed)) {
        return;
    }
    if (!isNew && isConflicting(entry, record)) {
        this->applyFault({ record.upstream.instance, record.changed }, changes);
        return;
    }
    // The platform's revisions order the starts. `startedAt` is read from a wall clock that may
    // step back, so it only distinguishes one start from another.
    if (!isNew && isRestart(entry.record, record)) {
        this->resetAfterRestart(entry, changes);
    }
    const auto wasActive = entry.record.upstream.state == UpstreamState::Active;
    const auto staysDraining = !isNew && !wasActive && isOfEarlierEpoch(entry.newest)
                               && !isRestart(entry.record, record);
    const auto wasListed = !isNew && entry.presence == Presence::Listed;
    this->unlistedEntries -= !isNew && !wasListed ? 1 : 0;
    this->listed += wasListed ? 0 : 1;
    entry.record = record;
    if (staysDraining) {
        entry.record.upstream.state = UpstreamState::Draining;
    }
    entry.newest = record.changed;
    entry.presence = Presence::Listed;
    entry.isFaulty = false;
    entry.isRemovalContested = false;
    entry.warmAt = now + record.upstream.warmup;
    this->updateColdLimit(entry, now);
    if (!wasListed) {
        entry.since = now;
        entry.evidence.clearSilence();
        this->claimCookie(entry, changes);
        changes.listed.push_back(this->indexOf(entry));
    }
    if (wasActive && entry.record.upstream.state == UpstreamState::Draining) {
        changes.leaving.push_back(this->indexOf(entry));
    }
}

/// Clears what is known of an instance's previous process after a restart.
///
/// Open flows are not reset here: their packets reach the new process, which resets unknown flows
/// half a round trip later. A flow that another host forwarded before may already belong to the
/// new process.
auto Directory::resetAfterRestart(UpstreamEntry &entry, DirectoryChanges &changes) -> void
{
    ++entry.restarts;
    entry.evidence = UpstreamEvidence();
    entry.allowance = ColdAllowance();
    changes.restarted.push_back(this->indexOf(entry));
}

auto Directory::applyFault(const DirectoryFault &fault, DirectoryChanges &changes) -> void
{
    const auto found = this->byInstance.find(fault.instance);
    if (found == this->byInstance.end()) {
        return;
    }
    auto &entry = this->entrySlots[found->second];
    if (!(entry.newest < fault.at)) {
        return;
    }
    entry.newest = fault.at;
    if (!std::exchange(entry.isFaulty, true)) {
        changes.faulty.push_back(this->indexOf(entry));
    }
}

auto Directory::applyRemoval(const DirectoryRemoval &removal, Duration removalsDeferredFor,
                             MonoTime now, DirectoryChanges &changes) -> void
{
    const auto found = this->byInstance.find(removal.instance);
    if (found == this->byInstance.end()) {
        return;
    }
    auto &entry = this->entrySlots[found->second];
    if (!(entry.newest < removal.at) || entry.presence != Presence::Listed) {
        return;
    }
    entry.newest = removal.at;
    --this->listed;
    ++this->unlistedEntries;
    entry.isRemovalContested = removalsDeferredFor <= Duration(0);
    if (entry.isRemovalContested && !showedLifeRecently(entry, now, this->signOfLifeValidity)) {
        this->remove(entry, now, changes);
        return;
    }
    entry.presence = Presence::Missing;
    entry.since = now;
    entry.removalDue =
            now + (entry.isRemovalContested ? this->timeToReappear : removalsDeferredFor);
    changes.missing.push_back(this->indexOf(entry));
}

auto Directory::removeAbsent(const DirectoryUpdate &update, MonoTime now, DirectoryChanges &changes)
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
        this->applyRemoval({ instance, update.upTo }, update.removalsDeferredFor, now, changes);
    }
}

auto Directory::applyRows(const std::shared_ptr<const PacketRows> &rows, MonoTime now,
                          DirectoryChanges &changes) -> void
{
    if (rows == nullptr || !this->packetRows.apply(rows, now)) {
        return;
    }
    this->coldLimits.clear();
    for (const auto &limit : rows->coldLimits) {
        if (this->enforcesColdLimits) {
            this->coldLimits.emplace(limit.service, limit);
        }
    }
    for (auto &entry : this->entrySlots) {
        this->updateColdLimit(entry, now);
    }
    changes.rowsChanged = true;
}

auto Directory::applyEvacuations(const DirectoryUpdate &update, MonoTime now,
                                 DirectoryChanges &changes) -> void
{
    ZoneEvacuations::ZoneSet zones;
    if (!update.evacuations.empty()) {
        for (const auto &entry : this->entrySlots) {
            zones.insert(entry.record.upstream.zone);
        }
    }
    changes.evacuations = this->zoneEvacuations.apply(update, zones, now);
    this->assumeZonesCold(changes.evacuations, now);
}

auto Directory::add(const DirectoryRecord &record) -> UpstreamEntry &
{
    std::uint32_t index = 0;
    if (this->freeSlots.empty()) {
        index = static_cast<std::uint32_t>(this->entrySlots.size());
        this->entrySlots.emplace_back();
    } else {
        index = this->freeSlots.back();
        this->freeSlots.pop_back();
        this->entrySlots[index] = UpstreamEntry();
    }
    auto &entry = this->entrySlots[index];
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
    auto &other = this->entrySlots[found->second];
    if (takesPrecedence(entry.record, other.record)) {
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
    for (auto &other : this->entrySlots) {
        const auto sharesCookie =
                other.cookie == entry.cookie && !other.ownsCookie && &other != &entry;
        if (sharesCookie && other.record.upstream.instance.isValid()) {
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

auto Directory::processRemovals(MonoTime now) -> DirectoryChanges
{
    DirectoryChanges changes;
    changes.evacuations = this->zoneEvacuations.endUnconfirmed(this->knownRevision, now);
    this->assumeZonesCold(changes.evacuations, now);
    this->poolsStale = this->poolsStale || !changes.evacuations.empty();
    if (this->unlistedEntries == 0) {
        return changes;
    }
    for (auto &entry : this->entrySlots) {
        if (!entry.record.upstream.instance.isValid()) {
            continue;
        }
        if (entry.presence == Presence::Missing && now >= entry.removalDue) {
            this->resolveMissing(entry, now, changes);
        } else if (entry.presence == Presence::Removed
                   && now - entry.since >= config::tombstoneTime) {
            this->forget(entry);
        }
    }
    return changes;
}

/// Removes an entry whose deferral has ended. If the upstream showed a sign of life recently, it
/// only stops receiving new flows; its open flows continue as long as it answers.
auto Directory::resolveMissing(UpstreamEntry &entry, MonoTime now, DirectoryChanges &changes)
        -> void
{
    if (!showedLifeRecently(entry, now, this->signOfLifeValidity)) {
        this->remove(entry, now, changes);
        return;
    }
    entry.isRemovalContested = true;
    entry.removalDue = entry.evidence.lastHeardAt + this->signOfLifeValidity;
    this->poolsStale = true;
}

auto Directory::forget(UpstreamEntry &entry) -> void
{
    this->newestForgotten = std::max(this->newestForgotten, entry.newest);
    this->releaseCookie(entry);
    this->byInstance.erase(entry.record.upstream.instance);
    this->freeSlots.push_back(this->indexOf(entry));
    this->coldLimited -= entry.isColdLimited ? 1 : 0;
    entry = UpstreamEntry();
    --this->unlistedEntries;
    this->poolsStale = true;
}

auto Directory::updateSince(Revision have, MonoTime now) const -> DirectoryUpdate
{
    DirectoryUpdate update;
    update.after = this->hasChangesSince(have) ? have : Revision();
    update.upTo = this->knownRevision;
    for (const auto &entry : this->entrySlots) {
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
        if (entry.presence == Presence::Missing && !entry.isRemovalContested) {
            update.removalsDeferredFor =
                    std::max(update.removalsDeferredFor, Duration(entry.removalDue - now));
        }
    }
    const auto &rows = this->packetRows.shared();
    if (rows != nullptr && update.after < rows->changed) {
        update.rows = rows;
    }
    update.evacuations = this->zoneEvacuations.changedAfter(update.after);
    return update;
}

auto Directory::byCookie(Cookie cookie) -> UpstreamEntry *
{
    const auto found = this->cookies.find(cookie);
    return found == this->cookies.end() ? nullptr : &this->entrySlots[found->second];
}

auto Directory::byCookie(Cookie cookie) const -> const UpstreamEntry *
{
    const auto found = this->cookies.find(cookie);
    return found == this->cookies.end() ? nullptr : &this->entrySlots[found->second];
}

auto Directory::freshPools() -> const ServicePools &
{
    if (this->poolsStale) {
        this->rebuildPools();
    }
    return this->servicePools;
}

auto Directory::rebuildPools() -> void
{
    this->poolsStale = false;
    this->servicePools.clear();
    for (auto &entry : this->entrySlots) {
        entry.isPooled = false;
        if (entry.record.upstream.instance.isValid() && this->acceptsNewFlows(entry)) {
            this->servicePools.add(entry, this->indexOf(entry));
        }
    }
}

} // namespace flamingograde
