/// Splitting of server-sent event streams at event boundaries.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingograde {

/// Buffers a stream of server-sent events, returns complete events only, and keeps the ID of the
/// last one returned.
/// @remarks Not thread safe.
class EventSplitter
{
public:
    static constexpr std::size_t eventBytesMax = 1U << 20U; ///< Largest event that is accepted.

    /// Appends the next bytes of the stream.
    /// @returns all complete events that were not returned before, byte for byte; may be empty.
    [[nodiscard]] auto push(std::string_view bytes) -> std::string;

    /// Discards the incomplete event at the end of the buffer, for example after the stream was cut
    /// off. `lastId` does not change.
    auto dropPartial() -> void;

    /// Returns the ID of the last returned event that has an `id` field; empty if there is none, or
    /// if that field is empty.
    [[nodiscard]] auto lastId() const -> const std::string & { return this->lastEventId; }

    /// Returns whether the incomplete event exceeds `eventBytesMax`; the stream must then be
    /// abandoned.
    [[nodiscard]] auto isEventTooLarge() const -> bool
    {
        return this->buffer.size() > eventBytesMax;
    }

private:
    auto endLine(std::size_t lineEnd) -> void;

    std::string buffer;               ///< Received bytes that were not returned yet.
    std::size_t parsedBytes = 0;      ///< Bytes of `buffer` that were scanned for line ends.
    std::size_t lineStart = 0;        ///< Offset of the current line in `buffer`.
    std::size_t completeBytes = 0;    ///< Bytes of `buffer` that form complete events.
    bool afterCarriageReturn = false; ///< An LF now belongs to the line end of the CR before it.
    bool hasPendingId = false;
    std::string pendingId; ///< ID of the incomplete event.
    std::string lastEventId;
};

} // namespace flamingograde
