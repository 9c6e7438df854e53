/// Server-sent events out of bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// One whole event with an id.
struct FeedEvent
{
    std::uint64_t id = 0;
    std::string data;
};

/// Cuts a feed's bytes into events.
/// @remarks Not thread safe.
class EventStream
{
public:
    /// Takes bytes and returns the events that they complete; comments are left out.
    [[nodiscard]] auto append(const std::string &bytes) -> std::vector<FeedEvent>;
    /// Drops what has been read of an event that was not completed.
    auto clear() -> void { this->rest.clear(); }
    /// Returns whether an event has been read in part.
    [[nodiscard]] auto isWithinEvent() const -> bool { return !this->rest.empty(); }

private:
    std::string rest;
};

} // namespace standins
