/// Look-up and replacement in groups of eight entries.
#include "core/packets/flowtable.h"

#include <new>
#include <type_traits>

namespace flamingograde {

namespace {

static_assert(
        std::is_trivially_copyable_v<FlowEntry> && std::is_trivially_destructible_v<FlowEntry>,
        "zeroed memory must stand for free entries");
static_assert(static_cast<int>(FlowStage::Free) == 0, "zeroed entries must be free");

/// Returns zeroed memory for `count` entries, or null for 0. Throws `std::bad_alloc`.
auto allocate(std::size_t count) -> FlowEntry *
{
    if (count == 0) {
        return nullptr;
    }
    auto *entries = static_cast<FlowEntry *>(std::calloc(count, sizeof(FlowEntry)));
    if (entries == nullptr) {
        throw std::bad_alloc();
    }
    return entries;
}

} // namespace

FlowTable::FlowTable(std::size_t capacity)
    : entries(allocate(capacity), &std::free), count(capacity)
{}

auto FlowTable::groupOf(const FlowKey &key) const -> FlowEntry *
{
    const auto groups = this->count / groupSize;
    return &this->entries[(key.hash() & (groups - 1)) * groupSize];
}

auto FlowTable::search(const FlowKey &key) const -> FlowEntry *
{
    auto *group = this->groupOf(key);
    for (std::size_t i = 0; i < groupSize; ++i) {
        if (group[i].stage != FlowStage::Free && group[i].key == key) {
            return &group[i];
        }
    }
    return nullptr;
}

auto FlowTable::claim(const FlowKey &key) -> FlowEntry &
{
    auto *group = this->groupOf(key);
    auto *oldest = group;
    for (std::size_t i = 0; i < groupSize; ++i) {
        if (group[i].stage == FlowStage::Free) {
            return group[i];
        }
        // The times wrap, so they are compared by the sign of their difference.
        if (static_cast<std::int32_t>(group[i].lastPacketAt - oldest->lastPacketAt) < 0) {
            oldest = &group[i];
        }
    }
    return *oldest;
}

} // namespace flamingograde
