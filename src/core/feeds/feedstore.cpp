/// Feeds indexed by id and by retry time, and counted by upstream.
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
    this->decrementCount(found->second.upstream);
    this->byId.erase(found);
}

auto FeedStore::countAt(UpstreamId upstream) const -> std::uint32_t
{
    const auto found = this->byUpstream.find(upstream);
    return found == this->byUpstream.end() ? 0 : found->second;
}

auto FeedStore::moveTo(Feed &feed, UpstreamId upstream) -> void
{
    this->decrementCount(feed.upstream);
    feed.upstream = upstream;
    ++this->byUpstream[upstream];
}

auto FeedStore::wait(ExchangeId id, Feed &feed, MonoTime retryAt) -> void
{
    feed.stage = FeedStage::Waiting;
    feed.retryAt = retryAt;
    this->byRetryTime.emplace(retryAt, id);
}

auto FeedStore::takeDue(MonoTime now) -> std::vector<ExchangeId>
{
    std::vector<ExchangeId> due;
    while (!this->byRetryTime.empty() && this->byRetryTime.begin()->first <= now) {
        const auto entry = this->byRetryTime.begin();
        const auto *feed = this->find(entry->second);
        if (feed != nullptr && feed->stage == FeedStage::Waiting && feed->retryAt == entry->first) {
            due.push_back(entry->second);
        }
        this->byRetryTime.erase(entry);
    }
    return due;
}

auto FeedStore::decrementCount(UpstreamId upstream) -> void
{
    const auto count = this->byUpstream.find(upstream);
    if (count != this->byUpstream.end() && --count->second == 0) {
        this->byUpstream.erase(count);
    }
}

} // namespace flamingograde
