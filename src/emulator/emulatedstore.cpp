/// Emulated directory store with upstream records, rows and evacuations that hosts read and watch.
#include "emulator/emulatedstore.h"

#include "emulator/virtualclock.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace flamingograde::emulator {

namespace {

constexpr double lateReadCost = 0.1;
constexpr std::size_t partBytes = 16U
                                  << 10U; ///< Bytes that a call sends before others have a turn.

auto isSame(const Upstream &a, const Upstream &b) -> bool
{
    return a.state == b.state && a.warmup == b.warmup && a.address == b.address
           && a.slots == b.slots && a.service == b.service && a.startedAt == b.startedAt;
}

} // namespace

EmulatedStore::EmulatedStore(VirtualClock &virtualClock, Network &emulatedNetwork,
                             std::uint64_t seed)
    : clock(virtualClock), network(emulatedNetwork), random(seed)
{}

auto EmulatedStore::publish(PacketRows published) -> void
{
    this->recordChange(InstanceId());
    published.changed = this->revision();
    this->contents.rows = std::make_shared<const PacketRows>(std::move(published));
    this->answerWatches();
}

auto EmulatedStore::modeFor(const Place &from) const -> StoreMode
{
    const auto fault = this->network.faultBetween(from, this->place);
    if (fault != LinkFault::None) {
        return fault == LinkFault::Refuse ? StoreMode::Refuses : StoreMode::Silent;
    }
    const auto found = this->modeByHost.find(from.name);
    return found != this->modeByHost.end() && this->mode == StoreMode::Answers ? found->second
                                                                               : this->mode;
}

auto EmulatedStore::write(const Place &from, const Upstream &upstream) -> bool
{
    if (this->modeFor(from) != StoreMode::Answers) {
        return false;
    }
    const auto found = this->contents.records.find(upstream.instance);
    const auto leaseEnd = this->clock.now() + this->lease;
    if (found != this->contents.records.end() && isSame(found->second.record.upstream, upstream)) {
        found->second.leaseEnd = leaseEnd;
        return true;
    }
    this->recordChange(upstream.instance);
    const auto changed = this->revision();
    const auto created =
            found != this->contents.records.end() ? found->second.record.created : changed;
    this->contents.records[upstream.instance] = { { upstream, changed, created }, leaseEnd };
    this->contents.removals.erase(upstream.instance);
    this->answerWatches();
    return true;
}

auto EmulatedStore::remove(const Place &from, InstanceId instance) -> bool
{
    if (this->modeFor(from) != StoreMode::Answers || this->contents.records.count(instance) == 0) {
        return false;
    }
    this->recordChange(instance);
    this->contents.records.erase(instance);
    this->contents.removals[instance] = this->contents.last;
    this->answerWatches();
    return true;
}

auto EmulatedStore::evacuate(const std::string &zone) -> bool
{
    return this->storeEvacuation(zone, true);
}

auto EmulatedStore::endEvacuation(const std::string &zone) -> bool
{
    return this->storeEvacuation(zone, false);
}

auto EmulatedStore::storeEvacuation(const std::string &zone, bool inForce) -> bool
{
    if (this->mode != StoreMode::Answers) {
        return false;
    }
    this->recordChange(InstanceId());
    this->contents.evacuations[zone] = { ZoneId::ofName(zone), zone, this->revision(), inForce };
    this->answerWatches();
    return true;
}

auto EmulatedStore::expire() -> void
{
    if (this->mode != StoreMode::Answers && !this->leasesExpireDuringOutage) {
        return;
    }
    for (auto it = this->contents.records.begin(); it != this->contents.records.end();) {
        if (this->clock.now() < it->second.leaseEnd) {
            ++it;
            continue;
        }
        this->recordChange(it->first);
        this->contents.removals[it->first] = this->contents.last;
        it = this->contents.records.erase(it);
    }
    this->answerWatches();
}

auto EmulatedStore::recordChange(InstanceId instance) -> void
{
    this->keepPast();
    this->contents.history.push_back({ ++this->contents.last, instance, this->clock.now() });
}

auto EmulatedStore::keepPast() -> void
{
    if (this->staleBy <= Duration(0)) {
        return;
    }
    const auto oldest = this->clock.now() - this->staleBy;
    while (!this->past.empty() && this->past.front().changedAt <= oldest) {
        this->past.pop_front();
    }
    this->past.push_back({ this->contents, this->clock.now() });
}

auto EmulatedStore::pastContents() const -> const Contents &
{
    const auto at = this->clock.now() - this->staleBy;
    const auto found = std::find_if(this->past.begin(), this->past.end(),
                                    [at](const auto &it) { return at < it.changedAt; });
    return found == this->past.end() ? this->contents : found->contents;
}

auto EmulatedStore::forgetHistory() -> void
{
    this->contents.history.clear();
    this->contents.historyStart = this->contents.last;
    this->cutWatches("watch was cut: the store discarded its history");
}

auto EmulatedStore::cutWatches(const std::string &why) -> void
{
    for (const auto &watch : std::exchange(this->watches, {})) {
        this->reply(watch.from, watch.answer,
                    DirectoryReadFailed { DirectoryFailure::Unreachable, why });
    }
}

auto EmulatedStore::takeCopy() -> void
{
    this->copied = this->contents;
}

auto EmulatedStore::restoreCopy() -> void
{
    this->contents = this->copied;
    this->past.clear();
    ++this->epoch;
    this->markEpoch();
    for (auto &[instance, stored] : this->contents.records) {
        stored.leaseEnd = this->clock.now() + this->lease;
    }
    this->cutWatches("watch was cut: the store was restored");
}

auto EmulatedStore::markEpoch() -> void
{
    for (auto &[instance, stored] : this->contents.records) {
        stored.record.changed.epoch = this->epoch;
        stored.record.created.epoch = this->epoch;
    }
    for (auto &[zone, evacuation] : this->contents.evacuations) {
        evacuation.at.epoch = this->epoch;
    }
    if (this->contents.rows != nullptr) {
        auto marked = *this->contents.rows;
        marked.changed.epoch = this->epoch;
        this->contents.rows = std::make_shared<const PacketRows>(std::move(marked));
    }
}

auto EmulatedStore::rowsVersion() const -> std::uint64_t
{
    return this->contents.rows == nullptr ? 0 : this->contents.rows->version;
}

auto EmulatedStore::isEvacuated(const std::string &zone) const -> bool
{
    const auto found = this->contents.evacuations.find(zone);
    return found != this->contents.evacuations.end() && found->second.inForce;
}

auto EmulatedStore::consumeReadAllowance(bool mayBeStale) -> bool
{
    const auto cost = mayBeStale ? lateReadCost : 1.0;
    this->calls += cost;
    if (mayBeStale) {
        return true;
    }
    const std::chrono::duration<double> passed =
            this->clock.now() - std::exchange(this->allowanceUpdatedAt, this->clock.now());
    this->allowance =
            std::min(this->readsPerSecond, this->allowance + passed.count() * this->readsPerSecond);
    if (this->allowance < 1) {
        ++this->refusedCalls;
        return false;
    }
    this->allowance -= 1;
    return true;
}

auto EmulatedStore::withTimeout(const ReadDirectory &asked, const Answer &report) -> Answer
{
    const auto ended = std::make_shared<bool>(false);
    Answer once = [ended, report](const Event &event) {
        if (!std::exchange(*ended, true)) {
            report(event);
        }
    };
    this->clock.later(asked.wait + config::directoryReadMargin, [once] {
        once(DirectoryReadFailed {
                DirectoryFailure::Unreachable,
                "no whole answer from the store in the time allowed for a read" });
    });
    return once;
}

auto EmulatedStore::readPage(const Place &from, bool mayBeStale, InstanceId after,
                             PageHandlers handlers) -> void
{
    const auto delay = this->network.delayBetween(from, this->place);
    this->clock.later(delay, [this, from, mayBeStale, after, handlers = std::move(handlers)] {
        const auto storeMode = this->modeFor(from);
        const auto isWithinRateLimit = this->consumeReadAllowance(mayBeStale);
        if (storeMode == StoreMode::Silent || *handlers.cancelled) {
            return;
        }
        if (storeMode == StoreMode::Refuses || !isWithinRateLimit) {
            this->reply(
                    from,
                    [handlers](const Event &event) {
                        if (!*handlers.cancelled) {
                            handlers.onFailure(std::get<DirectoryReadFailed>(event));
                        }
                    },
                    DirectoryReadFailed { DirectoryFailure::Refused,
                                          "the store refused the read" });
            return;
        }
        std::uniform_real_distribution<double> draw(0, 1);
        if (draw(this->random) < this->answerLossShare) {
            return;
        }
        auto transfer = std::make_shared<Transfer>();
        transfer->page = this->pageAfter(mayBeStale ? this->pastContents() : this->contents, after);
        transfer->handlers = handlers;
        const auto &update = transfer->page.update;
        const auto rowCount = update.rows != nullptr ? update.rows->rows.size() : 0;
        transfer->size = (update.present.size() + rowCount + 1) * this->recordBytes;
        this->clock.later(this->answerDelay,
                          [this, from, transfer] { this->transmit(from, transfer); });
    });
}

auto EmulatedStore::transmit(const Place &from, std::shared_ptr<Transfer> transfer) -> void
{
    if (*transfer->handlers.cancelled) {
        return;
    }
    const auto isLimited = this->linkBytesPerSecond > 0;
    const auto left = transfer->size - transfer->sent;
    const auto bytes = isLimited ? std::min(partBytes, left) : left;
    if (isLimited) {
        const std::chrono::duration<double> time(static_cast<double>(bytes)
                                                 / this->linkBytesPerSecond);
        this->linkFreeAt = std::max(this->linkFreeAt, this->clock.now())
                           + std::chrono::duration_cast<Duration>(time);
    }
    const auto sentAt = std::max(this->linkFreeAt, this->clock.now());
    const auto arrival = sentAt - this->clock.now() + this->network.delayBetween(this->place, from);
    this->clock.later(arrival, [this, from, transfer = std::move(transfer), bytes] {
        auto &handlers = transfer->handlers;
        if (*handlers.cancelled || this->modeFor(from) != StoreMode::Answers) {
            return;
        }
        transfer->sent += bytes;
        handlers.onBytes(bytes, transfer->size);
        if (transfer->sent < transfer->size) {
            this->transmit(from, transfer);
        } else if (!*handlers.cancelled) {
            handlers.onPage(std::move(transfer->page));
        }
    });
}

auto EmulatedStore::watch(const Place &from, const ReadDirectory &asked, const Answer &report)
        -> void
{
    const auto delay = this->network.delayBetween(from, this->place);
    const auto answer = this->withTimeout(asked, report);
    this->clock.later(delay, [this, from, asked, answer] {
        const auto storeMode = this->modeFor(from);
        const auto isWithinRateLimit = this->consumeReadAllowance(asked.mayBeStale);
        if (storeMode == StoreMode::Silent) {
            return;
        }
        if (storeMode == StoreMode::Refuses || !isWithinRateLimit) {
            this->reply(from, answer,
                        DirectoryReadFailed { DirectoryFailure::Refused,
                                              "the store refused the read" });
            return;
        }
        this->addWatch(from, asked, answer);
    });
}

auto EmulatedStore::addWatch(const Place &from, const ReadDirectory &asked, Answer answer) -> void
{
    if (asked.after.number < this->contents.historyStart
        || asked.after.number > this->contents.last) {
        this->reply(from, answer,
                    DirectoryReadFailed { DirectoryFailure::Forgotten,
                                          "revision is no longer in the store's history" });
        return;
    }
    const auto number = ++this->lastWatchNumber;
    this->watches.push_back({ from, asked.after, std::move(answer), number });
    this->answerWatches();
    this->clock.later(asked.wait, [this, number] {
        const auto found =
                std::find_if(this->watches.begin(), this->watches.end(),
                             [number](const Watch &watch) { return watch.number == number; });
        if (found != this->watches.end()) {
            const auto ended = *found;
            this->watches.erase(found);
            this->reply(ended.from, ended.answer,
                        DirectoryRead { this->changesAfter(ended.after), false });
        }
    });
}

auto EmulatedStore::answerWatches() -> void
{
    if (this->mode != StoreMode::Answers) {
        return;
    }
    std::vector<Watch> left;
    for (auto &watch : std::exchange(this->watches, {})) {
        if (watch.after.number < this->contents.last) {
            this->reply(watch.from, watch.answer,
                        DirectoryRead { this->changesAfter(watch.after), false });
        } else {
            left.push_back(std::move(watch));
        }
    }
    this->watches = std::move(left);
}

auto EmulatedStore::reply(const Place &from, const Answer &answer, Event event) -> void
{
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(this->random) < this->answerLossShare) {
        return;
    }
    const auto back = this->network.delayBetween(this->place, from);
    this->clock.later(this->answerDelay + back, [this, from, answer, event = std::move(event)] {
        if (this->modeFor(from) == StoreMode::Answers
            || std::holds_alternative<DirectoryReadFailed>(event)) {
            answer(event);
        }
    });
}

auto EmulatedStore::pageAfter(const Contents &from, InstanceId after) const -> StorePage
{
    StorePage page;
    page.update.upTo = { from.last, this->epoch };
    auto it = from.records.upper_bound(after);
    for (; it != from.records.end() && page.update.present.size() < this->pageRecords; ++it) {
        page.update.present.push_back(it->second.record);
    }
    page.hasMore = it != from.records.end();
    if (after.isValid()) {
        return page;
    }
    page.update.rows = from.rows;
    for (const auto &[zone, evacuation] : from.evacuations) {
        if (evacuation.inForce) {
            page.update.evacuations.push_back(evacuation);
        }
    }
    return page;
}

auto EmulatedStore::changesAfter(Revision after) const -> DirectoryUpdate
{
    DirectoryUpdate update;
    update.after = after;
    update.upTo = this->revision();
    if (this->contents.rows != nullptr && after.number < this->contents.rows->changed.number) {
        update.rows = this->contents.rows;
    }
    for (const auto &[instance, entry] : this->contents.records) {
        if (after.number < entry.record.changed.number) {
            update.present.push_back(entry.record);
        }
    }
    for (const auto &[instance, at] : this->contents.removals) {
        if (after.number < at) {
            update.removed.push_back({ instance, { at, this->epoch } });
        }
    }
    for (const auto &[zone, evacuation] : this->contents.evacuations) {
        if (after.number < evacuation.at.number) {
            update.evacuations.push_back(evacuation);
        }
    }
    return update;
}

} // namespace flamingograde::emulator
