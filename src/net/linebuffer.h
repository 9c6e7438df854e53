/// Buffer for lines written to standard output, whose reader may be slow or blocked.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace flamingograde::net {

/// Buffers lines until the descriptor accepts them; drops lines that do not fit. Never blocks.
/// @remarks Not thread safe.
class LineBuffer
{
public:
    /// @param output descriptor to write to. Precondition: it stays open.
    /// @param capacity buffer capacity in bytes.
    LineBuffer(int output, std::size_t capacity) : descriptor(output), bytesMax(capacity) {}

    /// Appends a line, which includes its line break, or drops the whole line if it does not fit.
    /// Precondition: none.
    auto add(std::string_view line) -> void;

    /// Writes as much as the descriptor accepts without blocking. Precondition: none.
    auto flush() -> void;

    /// Returns the number of lines dropped since the last call. Precondition: none.
    [[nodiscard]] auto takeDropped() -> std::uint64_t;

    /// Returns whether no bytes are waiting to be written. Precondition: none.
    [[nodiscard]] auto isEmpty() const -> bool { return this->begin == this->text.size(); }

private:
    [[nodiscard]] auto isWritable() const -> bool;

    int descriptor;
    std::size_t bytesMax;
    std::string text;
    std::size_t begin = 0; ///< Offset in `text` of the first byte not yet written.
    std::uint64_t dropped = 0;
};

} // namespace flamingograde::net
