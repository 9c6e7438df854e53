/// Lines on their way to standard output, which may be slow or stuck.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace flamingograde::net {

/// Holds lines until the descriptor takes them; drops what does not fit. Never blocks.
/// @remarks Not thread safe.
class LineBuffer
{
public:
    /// @param output where lines go. Precondition: it stays open.
    /// @param most bytes held.
    LineBuffer(int output, std::size_t most) : descriptor(output), bytesMax(most) {}

    /// Appends a line with its end, or drops it whole. Precondition: none.
    auto add(std::string_view line) -> void;

    /// Writes as much as the descriptor takes without blocking. Precondition: none.
    auto flush() -> void;

    /// Returns the lines dropped since the last call. Precondition: none.
    [[nodiscard]] auto takeDropped() -> std::uint64_t;

    /// Returns whether lines wait. Precondition: none.
    [[nodiscard]] auto isEmpty() const -> bool { return this->begin == this->text.size(); }

private:
    [[nodiscard]] auto isWritable() const -> bool;

    int descriptor;
    std::size_t bytesMax;
    std::string text;
    std::size_t begin = 0; ///< What comes before it was written.
    std::uint64_t dropped = 0;
};

} // namespace flamingograde::net
