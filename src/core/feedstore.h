/// The feeds held by this host.
#pragma once

#include "core/feed.h"

#include <flamingograde/ids.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

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
    [[nodiscard]] auto size() const -> std::size_t { return this->byId.size(); }
    [[nodiscard]] auto all() const -> const std::unordered_map<ExchangeId, Feed> &
    {
        return this->byId;
    }

private:
    std::unordered_map<ExchangeId, Feed> byId;
    std::unordered_map<UpstreamId, std::uint32_t> byUpstream;
};

} // namespace flamingograde
