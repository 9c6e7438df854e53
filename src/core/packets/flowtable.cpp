/// Look-ups in groups of eight neighbours.
#include "core/packets/flowtable.h"

namespace flamingograde {

auto FlowTable::first(const FlowKey &key) -> FlowEntry *
{
    const auto groups = this->entries.size() / neighbours;
    return &this->entries[(key.hash() & (groups - 1)) * neighbours];
}

auto FlowTable::find(const FlowKey &key) -> FlowEntry *
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
