/// Look-ups in groups of eight neighbours.
#include "core/packets/flowtable.h"

#include <new>
#include <type_traits>

namespace flamingograde {

namespace {

static_assert(
        std::is_trivially_copyable_v<FlowEntry> && std::is_trivially_destructible_v<FlowEntry>,
        "zeroed memory must stand for free entries");
static_assert(static_cast<int>(FlowStage::Free) == 0, "zeroed entries must be free");

/// Returns zeroed memory for so many entries.
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

auto FlowTable::first(const FlowKey &key) const -> FlowEntry *
{
    const auto groups = this->count / neighbours;
    return &this->entries[(key.hash() & (groups - 1)) * neighbours];
}

auto FlowTable::search(const FlowKey &key) const -> FlowEntry *
{
    auto *group = this->first(key);
    for (std::size_t i = 0; i < neighbours; ++i) {
        if (group[i].stage != FlowStage::Free && group[i].key == key) {
            return &group[i];
        }
    }
    return nullptr;
}

auto FlowTable::claim(const FlowKey &key) -> FlowEntry &
{
    auto *group = this->first(key);
    auto *oldest = group;
    for (std::size_t i = 0; i < neighbours; ++i) {
        if (group[i].stage == FlowStage::Free) {
            return group[i];
        }
        // A difference of wrapping times: the older one is negative.
        if (static_cast<std::int32_t>(group[i].packetAt - oldest->packetAt) < 0) {
            oldest = &group[i];
        }
    }
    return *oldest;
}

} // namespace flamingograde
