/// The feeds held, by id, by upstream and by the time at which they are to be opened again.
#include "core/feeds/feedstore.h"

namespace flamingograde {

auto FeedStore::add(ExchangeId id, Feed feed) -> Feed &
{
    ++this->byUpstream[feed.upstream];
    return this->byId.insert_or_assign(id, feed).first->second;
}

auto FeedStore::find(ExchangeId id) -> Feed *
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : &found->second;
}

auto FeedStore::erase(ExchangeId id) -> void
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end()) {
        return;
    }
    this->uncount(found->second.upstream);
    this->byId.erase(found);
}

auto FeedStore::countAt(UpstreamId upstream) const -> std::uint32_t
{
    const auto found = this->byUpstream.find(upstream);
    return found == this->byUpstream.end() ? 0 : found->second;
}

auto FeedStore::moveTo(Feed &feed, UpstreamId upstream) -> void
{
    this->uncount(feed.upstream);
    feed.upstream = upstream;
    ++this->byUpstream[upstream];
}

auto FeedStore::wait(ExchangeId id, Feed &feed, MonoTime retryAt) -> void
{
    feed.stage = FeedStage::Waiting;
    feed.retryAt = retryAt;
    this->byRetry.emplace(retryAt, id);
}

auto FeedStore::takeDue(MonoTime now) -> std::vector<ExchangeId>
{
    std::vector<ExchangeId> due;
    while (!this->byRetry.empty() && this->byRetry.begin()->first <= now) {
        const auto entry = this->byRetry.begin();
        const auto *feed = this->find(entry->second);
        if (feed != nullptr && feed->stage == FeedStage::Waiting && feed->retryAt == entry->first) {
            due.push_back(entry->second);
        }
        this->byRetry.erase(entry);
    }
    return due;
}

auto FeedStore::uncount(UpstreamId upstream) -> void
{
    const auto count = this->byUpstream.find(upstream);
    if (count != this->byUpstream.end() && --count->second == 0) {
        this->byUpstream.erase(count);
    }
}

} // namespace flamingograde
