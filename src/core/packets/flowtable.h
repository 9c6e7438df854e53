/// Table of the flows that a host tracks.
#pragma once

#include "core/packets/flowentry.h"

#include <flamingograde/clock.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>

namespace flamingograde {

/// A hash table of fixed size, in groups of eight entries. A new flow whose group is full replaces
/// the flow of the group that has been without packets for the longest time.
/// @remarks Not thread safe. Allocates in its constructor only.
class FlowTable
{
public:
    /// @param capacity number of entries; a power of two of 8 or more, or 0 for none.
    explicit FlowTable(std::size_t capacity);

    /// Returns the entry of the flow, or null. Precondition: the capacity is not 0.
    [[nodiscard]] auto find(const FlowKey &key) -> FlowEntry * { return this->search(key); }
    [[nodiscard]] auto find(const FlowKey &key) const -> const FlowEntry *
    {
        return this->search(key);
    }

    /// Returns an entry for a flow that is not in the table. It still holds the flow that it had
    /// before; the caller stops tracking that flow and overwrites the entry.
    /// Precondition: the capacity is not 0.
    [[nodiscard]] auto claim(const FlowKey &key) -> FlowEntry &;

    /// Returns the index of an entry. Precondition: `entry` is in this table.
    [[nodiscard]] auto indexOf(const FlowEntry &entry) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(&entry - this->entries.get());
    }
    /// Returns the entry at `index`. Precondition: `index` is below `capacity`.
    [[nodiscard]] auto at(std::uint32_t index) -> FlowEntry & { return this->entries[index]; }
    [[nodiscard]] auto capacity() const -> std::size_t { return this->count; }

    /// Returns a time in milliseconds, as the entries hold it; it wraps after 49 days.
    [[nodiscard]] static auto clock(MonoTime now) -> std::uint32_t
    {
        return static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
                        .count());
    }

    std::size_t used = 0; ///< Entries in use; updated by the code that changes an entry's stage.

private:
    static constexpr std::size_t groupSize = 8;

    [[nodiscard]] auto groupOf(const FlowKey &key) const -> FlowEntry *;
    [[nodiscard]] auto search(const FlowKey &key) const -> FlowEntry *;

    /// Zeroed by the operating system page by page on first use, so that the constructor does not
    /// have to touch this memory.
    std::unique_ptr<FlowEntry[], decltype(&std::free)> entries;
    std::size_t count;
};

} // namespace flamingograde
