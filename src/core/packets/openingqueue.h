/// Openings that wait for a second packet of their flow.
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

/// A queue of fixed size in the order of sending; what does not fit is not watched.
/// @remarks Not thread safe. Does not allocate.
class OpeningQueue
{
public:
    /// Appends an opening; drops it where the queue is full. Precondition: none.
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
    /// Drops the oldest. Precondition: there is one.
    auto pop() -> void
    {
        this->head = (this->head + 1) % this->ring.size();
        --this->count;
    }
    /// Drops all. Precondition: none.
    auto clear() -> void { this->count = 0; }

private:
    /// Openings of 60 ms: 4,000 new flows a second and more at the design size's 62 a host.
    static constexpr std::size_t capacity = 256;

    std::array<PendingOpening, capacity> ring;
    std::size_t head = 0;
    std::size_t count = 0;
};

} // namespace flamingograde
