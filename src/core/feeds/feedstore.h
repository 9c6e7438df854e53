/// The feeds held by this host.
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

/// Owns the feeds and counts them by upstream.
/// @remarks Not thread safe.
class FeedStore
{
public:
    /// Adds `feed`. Precondition: `id` is new.
    auto add(ExchangeId id, Feed feed) -> Feed &;
    /// Returns the feed, or null.
    [[nodiscard]] auto find(ExchangeId id) -> Feed *;
    /// Removes the feed, if it is there.
    auto erase(ExchangeId id) -> void;
    /// Returns how many feeds this host holds at `upstream`.
    [[nodiscard]] auto countAt(UpstreamId upstream) const -> std::uint32_t;
    /// Notes that `feed` goes to another upstream.
    auto moveTo(Feed &feed, UpstreamId upstream) -> void;
    /// Makes `feed` wait until `retryAt`.
    auto wait(ExchangeId id, Feed &feed, MonoTime retryAt) -> void;
    /// Returns the waiting feeds whose time has come, each once.
    [[nodiscard]] auto takeDue(MonoTime now) -> std::vector<ExchangeId>;
    [[nodiscard]] auto size() const -> std::size_t { return this->byId.size(); }
    [[nodiscard]] auto all() const -> const std::unordered_map<ExchangeId, Feed> &
    {
        return this->byId;
    }

private:
    auto uncount(UpstreamId upstream) -> void;

    std::unordered_map<ExchangeId, Feed> byId;
    std::unordered_map<UpstreamId, std::uint32_t> byUpstream;
    std::multimap<MonoTime, ExchangeId> byRetry; ///< May name feeds that wait no longer.
};

} // namespace flamingograde
