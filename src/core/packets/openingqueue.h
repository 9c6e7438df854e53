/// Queue of openings that wait for a second packet of their flow.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace flamingograde {

/// An opening packet that was forwarded.
struct PendingOpening
{
    std::uint32_t flow = 0;     ///< Index in the flow table.
    std::uint32_t upstream = 0; ///< Index in the directory.
    std::uint32_t sentAt = 0;   ///< In ms of `FlowTable::clock`.
};

/// A queue of fixed size in the order of forwarding. An opening that does not fit is dropped, so it
/// is never counted as unanswered by a time-out.
/// @remarks Not thread safe. Does not allocate.
class OpeningQueue
{
public:
    /// Appends an opening; drops it if the queue is full. Precondition: none.
    auto push(PendingOpening opening) -> void
    {
        if (this->count < this->ring.size()) {
            this->ring[(this->head + this->count++) % this->ring.size()] = opening;
        }
    }
    /// Returns the oldest, or null. Precondition: none.
    [[nodiscard]] auto oldest() const -> const PendingOpening *
    {
        return this->count == 0 ? nullptr : &this->ring[this->head];
    }
    /// Removes the oldest. Precondition: the queue is not empty.
    auto pop() -> void
    {
        this->head = (this->head + 1) % this->ring.size();
        --this->count;
    }
    /// Removes all. Precondition: none.
    auto clear() -> void { this->count = 0; }

private:
    /// Holds the openings of 60 ms at more than 4,000 new flows a second; at the design size a host
    /// gets 62 a second.
    static constexpr std::size_t capacity = 256;

    std::array<PendingOpening, capacity> ring;
    std::size_t head = 0;
    std::size_t count = 0;
};

} // namespace flamingograde
