/// Records of the idempotency keys that this host has run as a home.
#include "core/keys/keyregistry.h"

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

auto raiseTime(std::unordered_map<CellId, WallTime> &times, CellId cell, WallTime time) -> void
{
    auto &entry = times[cell];
    entry = std::max(entry, time);
}

auto timeOf(const std::unordered_map<CellId, WallTime> &times, CellId cell) -> WallTime
{
    const auto found = times.find(cell);
    return found == times.end() ? WallTime {} : found->second;
}

auto dispatchTimeOf(const DispatchedKey &key) -> WallTime
{
    return WallTime(Duration(key.dispatchedUs));
}

auto isNewer(const DispatchedKey &a, const DispatchedKey &b) -> bool
{
    return a.dispatchedUs != b.dispatchedUs ? a.dispatchedUs > b.dispatchedUs : a.hash < b.hash;
}

/// Removes the lookups for which `matches` returns true from `lookups`, and returns them.
template<typename Predicate>
auto takeLookups(std::map<std::uint64_t, PendingLookup> &lookups, Predicate matches)
        -> std::vector<PendingLookup>
{
    std::vector<PendingLookup> taken;
    for (auto entry = lookups.begin(); entry != lookups.end();) {
        if (!matches(entry->second)) {
            ++entry;
            continue;
        }
        taken.push_back(entry->second);
        entry = lookups.erase(entry);
    }
    return taken;
}

} // namespace

auto KeyRegistry::stateOf(CellId cell, const std::string &key) const -> KeyState
{
    const auto found = this->records.find({ cell, key });
    return found == this->records.end() ? KeyState::Unseen : found->second.state;
}

auto KeyRegistry::find(const KeyName &name) -> KeyRecord *
{
    const auto found = this->records.find(name);
    return found == this->records.end() ? nullptr : &found->second;
}

auto KeyRegistry::findByFirst(ExchangeId exchange) -> KeyRecord *
{
    const auto name = this->names.find(exchange);
    if (name == this->names.end()) {
        return nullptr;
    }
    auto *record = this->find(name->second);
    return record != nullptr && record->first == exchange ? record : nullptr;
}

auto KeyRegistry::reserve(const KeyName &name, ExchangeId exchange) -> void
{
    KeyRecord record;
    record.first = exchange;
    this->records[name] = std::move(record);
    this->names[exchange] = name;
}

auto KeyRegistry::attach(const KeyName &name, ExchangeId exchange) -> void
{
    this->records.at(name).attached.push_back(exchange);
    this->names[exchange] = name;
}

auto KeyRegistry::dispatched(ExchangeId exchange, std::uint32_t attempt, Now now)
        -> std::vector<ExchangeId>
{
    auto *record = this->findByFirst(exchange);
    if (record == nullptr) {
        return {};
    }
    this->evictExcess();
    record->state = KeyState::Running;
    record->attempt = attempt;
    record->dispatched = now.wall;
    record->expires = now.mono + config::keyLifetime;
    this->dispatchOrder.push_back(
            { this->names.at(exchange), record->dispatched, record->expires });
    return record->attached;
}

auto KeyRegistry::finish(ExchangeId exchange, KeyState state,
                         std::shared_ptr<const std::string> answer) -> std::vector<ExchangeId>
{
    const auto name = this->names.at(exchange);
    auto &record = this->records.at(name);
    record.state = state;
    auto waiting = std::exchange(record.attached, {});
    for (const auto repeat : waiting) {
        this->names.erase(repeat);
    }
    this->names.erase(exchange);
    record.first = ExchangeId();
    this->storeAnswer(name, std::move(answer));
    return waiting;
}

auto KeyRegistry::clear(ExchangeId exchange) -> void
{
    const auto name = this->names.at(exchange);
    const auto &record = this->records.at(name);
    for (const auto repeat : record.attached) {
        this->names.erase(repeat);
        this->released.push_back(repeat);
    }
    this->names.erase(exchange);
    this->records.erase(name);
}

auto KeyRegistry::remove(ExchangeId exchange) -> void
{
    const auto name = this->names.find(exchange);
    if (name == this->names.end()) {
        return;
    }
    auto &record = this->records.at(name->second);
    if (record.first != exchange) {
        auto &attached = record.attached;
        attached.erase(std::remove(attached.begin(), attached.end(), exchange), attached.end());
        this->names.erase(name);
        return;
    }
    if (record.state == KeyState::Running) {
        this->orphans.push_back(exchange);
        return;
    }
    this->clear(exchange);
}

auto KeyRegistry::takeOrphans() -> std::vector<ExchangeId>
{
    return std::exchange(this->orphans, {});
}

auto KeyRegistry::takeReleased() -> std::vector<ExchangeId>
{
    return std::exchange(this->released, {});
}

auto KeyRegistry::takeParked() -> std::vector<ExchangeId>
{
    return std::exchange(this->parked, {});
}

auto KeyRegistry::expire(MonoTime now) -> void
{
    this->expireInherited(now);
    while (!this->dispatchOrder.empty() && this->dispatchOrder.front().expires <= now) {
        auto oldest = std::move(this->dispatchOrder.front());
        this->dispatchOrder.pop_front();
        if (!this->isCurrent(oldest)) {
            continue;
        }
        if (this->records.at(oldest.name).state == KeyState::Running) {
            this->records.at(oldest.name).expires = now + config::keyLifetime;
            oldest.expires = now + config::keyLifetime;
            this->dispatchOrder.push_back(std::move(oldest));
            continue;
        }
        raiseTime(this->forgottenTimes, oldest.name.cell, oldest.dispatched);
        this->erase(oldest.name);
    }
}

auto KeyRegistry::forgottenUntil(CellId cell) const -> WallTime
{
    return timeOf(this->forgottenTimes, cell);
}

auto KeyRegistry::evictedUntil(CellId cell) const -> WallTime
{
    return timeOf(this->evictedTimes, cell);
}

auto KeyRegistry::handOver(CellId cell, WallTime after, std::size_t limit,
                           WallTime &knownSince) const -> std::vector<DispatchedKey>
{
    std::unordered_map<std::uint64_t, DispatchedKey> found;
    const auto ofCell = this->inheritedKeys.find(cell);
    if (ofCell != this->inheritedKeys.end()) {
        for (const auto &[hash, key] : ofCell->second.keys) {
            if (dispatchTimeOf(key) > after) {
                found.emplace(hash, key);
            } else {
                knownSince = std::max(knownSince, dispatchTimeOf(key));
            }
        }
    }
    for (const auto &entry : this->dispatchOrder) {
        if (entry.name.cell != cell) {
            continue;
        }
        if (entry.dispatched <= after) {
            knownSince = std::max(knownSince, entry.dispatched);
        } else if (this->isCurrent(entry)) {
            const auto key = this->toDispatchedKey(entry);
            found[key.hash] = key;
        }
    }
    std::vector<DispatchedKey> keys;
    keys.reserve(found.size());
    for (const auto &[hash, key] : found) {
        keys.push_back(key);
    }
    std::sort(keys.begin(), keys.end(), isNewer);
    if (keys.size() > limit) {
        knownSince = std::max(knownSince, dispatchTimeOf(keys[limit]));
        keys.resize(limit);
    }
    return keys;
}

auto KeyRegistry::inherit(CellId cell, const std::vector<DispatchedKey> &keys, MonoTime now) -> void
{
    InheritedKeys newKeys;
    newKeys.expires = now + config::keyLifetime;
    for (auto key : keys) {
        key.state = key.state == KeyState::Done ? KeyState::Done : KeyState::Unknown;
        newKeys.keys.emplace(key.hash, key);
    }
    this->inheritedKeys[cell] = std::move(newKeys);
}

auto KeyRegistry::inherited(const KeyName &name) const -> std::optional<KeyState>
{
    const auto ofCell = this->inheritedKeys.find(name.cell);
    if (ofCell == this->inheritedKeys.end()) {
        return std::nullopt;
    }
    const auto found = ofCell->second.keys.find(hashName(name.key));
    return found == ofCell->second.keys.end() ? std::nullopt : std::optional(found->second.state);
}

auto KeyRegistry::recordTenure(CellId cell, const KnownFrom &known) -> void
{
    this->tenures[cell] = known;
}

auto KeyRegistry::tenureOf(CellId cell) const -> std::optional<KnownFrom>
{
    const auto found = this->tenures.find(cell);
    return found == this->tenures.end() ? std::nullopt : std::optional(found->second);
}

auto KeyRegistry::addLookup(const PendingLookup &lookup) -> std::uint64_t
{
    ++this->lastSequence;
    this->lookups[this->lastSequence] = lookup;
    return this->lastSequence;
}

auto KeyRegistry::takeLookup(std::uint64_t sequence) -> std::optional<PendingLookup>
{
    const auto found = this->lookups.find(sequence);
    if (found == this->lookups.end()) {
        return std::nullopt;
    }
    const auto lookup = found->second;
    this->lookups.erase(found);
    return lookup;
}

auto KeyRegistry::takeLookupsBefore(MonoTime time) -> std::vector<PendingLookup>
{
    return takeLookups(this->lookups, [time](const auto &lookup) { return lookup.sentAt < time; });
}

auto KeyRegistry::takeLookupsTo(HostId host) -> std::vector<PendingLookup>
{
    return takeLookups(this->lookups, [host](const auto &lookup) { return lookup.host == host; });
}

auto KeyRegistry::expireInherited(MonoTime now) -> void
{
    for (auto entry = this->inheritedKeys.begin(); entry != this->inheritedKeys.end();) {
        if (entry->second.expires > now) {
            ++entry;
            continue;
        }
        for (const auto &[hash, key] : entry->second.keys) {
            raiseTime(this->forgottenTimes, entry->first, dispatchTimeOf(key));
        }
        entry = this->inheritedKeys.erase(entry);
    }
}

auto KeyRegistry::evictExcess() -> void
{
    auto remaining = this->dispatchOrder.size();
    while (this->records.size() > this->keysMax && remaining > 0) {
        --remaining;
        auto oldest = std::move(this->dispatchOrder.front());
        this->dispatchOrder.pop_front();
        if (!this->isCurrent(oldest)) {
            continue;
        }
        if (this->records.at(oldest.name).state == KeyState::Running) {
            this->dispatchOrder.push_back(std::move(oldest));
            continue;
        }
        raiseTime(this->forgottenTimes, oldest.name.cell, oldest.dispatched);
        raiseTime(this->evictedTimes, oldest.name.cell, oldest.dispatched);
        this->erase(oldest.name);
    }
}

auto KeyRegistry::erase(const KeyName &name) -> void
{
    this->dropAnswer(name);
    this->records.erase(name);
}

auto KeyRegistry::storeAnswer(const KeyName &name, std::shared_ptr<const std::string> answer)
        -> void
{
    if (answer == nullptr || answer->size() > config::storedAnswerMax) {
        return;
    }
    this->storedBytes += answer->size();
    this->records.at(name).answer = std::move(answer);
    this->answerOrder.push_back(name);
    while (this->storedBytes > this->answerBytesMax) {
        const auto oldest = std::move(this->answerOrder.front());
        this->answerOrder.pop_front();
        this->dropAnswer(oldest);
    }
}

auto KeyRegistry::dropAnswer(const KeyName &name) -> void
{
    auto *record = this->find(name);
    if (record == nullptr || record->answer == nullptr) {
        return;
    }
    this->storedBytes -= record->answer->size();
    record->answer = nullptr;
}

auto KeyRegistry::toDispatchedKey(const DispatchEntry &entry) const -> DispatchedKey
{
    const auto state = this->records.at(entry.name).state;
    return { hashName(entry.name.key), state, entry.dispatched.time_since_epoch().count() };
}

auto KeyRegistry::isCurrent(const DispatchEntry &entry) const -> bool
{
    const auto found = this->records.find(entry.name);
    return found != this->records.end() && found->second.state != KeyState::Unseen
           && found->second.dispatched == entry.dispatched;
}

} // namespace flamingograde
