/// An incremental parser for server-sent events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// A complete server-sent event that has an id.
struct FeedEvent
{
    std::uint64_t id = 0;
    std::string data;
};

/// Splits the bytes of a feed into events.
/// @remarks Not thread safe.
class EventStreamParser
{
public:
    /// Adds received bytes and returns the events that are now complete. Comments and events
    /// without an id are skipped.
    [[nodiscard]] auto append(const std::string &bytes) -> std::vector<FeedEvent>;
    /// Discards the bytes of an incomplete event.
    auto clear() -> void { this->unparsed.clear(); }
    /// Returns whether an event has been received only in part.
    [[nodiscard]] auto hasPartialEvent() const -> bool { return !this->unparsed.empty(); }

private:
    std::string unparsed;
};

} // namespace standins
