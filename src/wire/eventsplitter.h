/// Splits a stream of server-sent events at the boundaries of events.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingograde {

/// Passes on whole events only, and knows the id of the last one.
/// @remarks Not thread safe.
class EventSplitter
{
public:
    static constexpr std::size_t eventBytesMax = 1U << 20U; ///< Largest event.

    /// Takes the next bytes of the stream.
    /// @returns the bytes up to the last event boundary that were not returned before; may be
    /// empty.
    [[nodiscard]] auto push(std::string_view bytes) -> std::string;

    /// Forgets the part of an event that was not returned, as its stream broke off.
    auto dropPartial() -> void;

    /// Returns the id of the last event returned that has one; empty for none.
    [[nodiscard]] auto lastId() const -> const std::string & { return this->id; }

    /// Returns whether an event is larger than `eventBytesMax`: the stream cannot be used.
    [[nodiscard]] auto isOverlong() const -> bool { return this->partial.size() > eventBytesMax; }

private:
    auto endLine(std::size_t lineEnd) -> void;

    std::string partial;       ///< Bytes since the last boundary.
    std::size_t scanned = 0;   ///< Bytes of `partial` that were looked at.
    std::size_t lineStart = 0; ///< Where the current line begins in `partial`.
    std::size_t whole = 0;     ///< Bytes of `partial` that are whole events.
    bool afterReturn = false;  ///< The last byte was CR: an LF belongs to the same line end.
    bool hasNextId = false;
    std::string nextId; ///< Of the event that is coming in.
    std::string id;
};

} // namespace flamingograde
