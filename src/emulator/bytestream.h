/// Send window for one direction of an emulated flow.
#pragma once

#include <algorithm>
#include <cstdint>

namespace flamingograde::emulator {

/// Tracks sent and acknowledged bytes of a stream: packets of at most 1,200 bytes, with at most
/// 16 unacknowledged packets in flight.
/// @remarks Not thread safe.
class ByteStream
{
public:
    static constexpr std::uint32_t packetBytes = 1200;
    static constexpr std::uint32_t windowBytes = 16 * packetBytes;

    /// Resets the stream to start at `sequence`. Precondition: none.
    auto begin(std::uint32_t sequence) -> void
    {
        this->next = sequence;
        this->acked = sequence;
        this->end = sequence;
    }

    /// Appends `bytes` to the data to be sent. Precondition: none.
    auto add(std::uint32_t bytes) -> void { this->end += bytes; }

    /// Handles an acknowledgement. @returns whether it acknowledges new data.
    /// Precondition: none.
    auto acknowledge(std::uint32_t sequence) -> bool
    {
        const auto isNewer = static_cast<std::int32_t>(sequence - this->acked) > 0;
        if (!isNewer || static_cast<std::int32_t>(sequence - this->end) > 0) {
            return false;
        }
        this->acked = sequence;
        if (static_cast<std::int32_t>(this->next - this->acked) < 0) {
            this->next = this->acked;
        }
        return true;
    }

    /// Rewinds to the first unacknowledged byte for retransmission. Precondition: none.
    auto rewind() -> void { this->next = this->acked; }

    /// Returns whether every byte has been acknowledged. Precondition: none.
    [[nodiscard]] auto isDone() const -> bool { return this->acked == this->end; }

    /// Returns the sequence number of the next packet to send. Precondition: none.
    [[nodiscard]] auto nextSequence() const -> std::uint32_t { return this->next; }

    /// Advances past the next packet if the window allows it.
    /// @returns the packet's length in bytes; 0 if there is none to send.
    /// Precondition: none.
    auto take() -> std::uint32_t
    {
        if (this->next - this->acked >= windowBytes) {
            return 0;
        }
        const auto bytes = std::min(packetBytes, this->end - this->next);
        this->next += bytes;
        return bytes;
    }

private:
    std::uint32_t next = 0;  ///< Sequence number of the first unsent byte.
    std::uint32_t acked = 0; ///< Sequence number of the first unacknowledged byte.
    std::uint32_t end = 0;   ///< Sequence number after the last byte.
};

} // namespace flamingograde::emulator
