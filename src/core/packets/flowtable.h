/// The flows that a host watches.
#pragma once

#include "core/packets/flowentry.h"

#include <flamingograde/clock.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>

namespace flamingograde {

/// A hash table of fixed size. A new flow takes the place of the oldest of its eight neighbours.
/// @remarks Not thread safe. Allocates in its constructor only.
class FlowTable
{
public:
    /// @param capacity flows held; a power of two of 8 or more, or 0 for none.
    explicit FlowTable(std::size_t capacity);

    /// Returns the flow, or null. Precondition: the capacity is not 0.
    [[nodiscard]] auto find(const FlowKey &key) -> FlowEntry * { return this->search(key); }
    [[nodiscard]] auto find(const FlowKey &key) const -> const FlowEntry *
    {
        return this->search(key);
    }

    /// Returns an entry for a flow that `find` does not return. Its key and stage are those of the
    /// flow that it held before; the caller settles that one and overwrites the entry.
    /// Precondition: the capacity is not 0.
    [[nodiscard]] auto claim(const FlowKey &key) -> FlowEntry &;

    /// Returns the index of one of its entries. Precondition: it is one.
    [[nodiscard]] auto indexOf(const FlowEntry &entry) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(&entry - this->entries.get());
    }
    /// Returns the entry at `index`. Precondition: it is below `capacity`.
    [[nodiscard]] auto at(std::uint32_t index) -> FlowEntry & { return this->entries[index]; }
    [[nodiscard]] auto capacity() const -> std::size_t { return this->count; }

    /// Returns a time in the unit of the entries, which wraps after 49 days.
    [[nodiscard]] static auto clock(MonoTime now) -> std::uint32_t
    {
        return static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
                        .count());
    }

    std::size_t used = 0; ///< Entries in use; kept by whoever changes a stage.

private:
    static constexpr std::size_t neighbours = 8;

    [[nodiscard]] auto first(const FlowKey &key) const -> FlowEntry *;
    [[nodiscard]] auto search(const FlowKey &key) const -> FlowEntry *;

    /// Zeroed by the system page by page as flows come: a start writes none of it.
    std::unique_ptr<FlowEntry[], decltype(&std::free)> entries;
    std::size_t count;
};

} // namespace flamingograde
