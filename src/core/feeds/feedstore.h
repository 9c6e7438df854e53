/// Store of the feeds held by this host.
#pragma once

#include "core/feeds/feed.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace flamingograde {

/// Owns the feeds, counts them by upstream and queues the waiting ones by retry time.
/// @remarks Not thread safe.
class FeedStore
{
public:
    /// Adds `feed`. Precondition: `id` is not stored yet.
    auto add(ExchangeId id, Feed feed) -> Feed &;
    /// Returns the feed, or null if it is not stored.
    [[nodiscard]] auto find(ExchangeId id) -> Feed *;
    /// Removes the feed, if it is stored.
    auto erase(ExchangeId id) -> void;
    /// Returns how many feeds this host holds at `upstream`.
    [[nodiscard]] auto countAt(UpstreamId upstream) const -> std::uint32_t;
    /// Assigns `feed` to `upstream` and updates the counts of both upstreams.
    auto moveTo(Feed &feed, UpstreamId upstream) -> void;
    /// Sets `feed` to stage `Waiting` and queues it for `retryAt`.
    auto wait(ExchangeId id, Feed &feed, MonoTime retryAt) -> void;
    /// Removes the waiting feeds whose retry time is at or before `now` from the queue and returns
    /// them.
    [[nodiscard]] auto takeDue(MonoTime now) -> std::vector<ExchangeId>;
    [[nodiscard]] auto size() const -> std::size_t { return this->byId.size(); }
    [[nodiscard]] auto all() const -> const std::unordered_map<ExchangeId, Feed> &
    {
        return this->byId;
    }

private:
    auto decrementCount(UpstreamId upstream) -> void;

    std::unordered_map<ExchangeId, Feed> byId;
    std::unordered_map<UpstreamId, std::uint32_t> byUpstream;
    std::multimap<MonoTime, ExchangeId>
            byRetryTime; ///< May hold entries of feeds that no longer wait.
};

} // namespace flamingograde
