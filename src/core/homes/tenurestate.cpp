/// Looks up and updates the cells whose home is this host.
#include "core/homes/tenurestate.h"

namespace flamingograde {

auto TenureState::since(CellId cell) const -> std::optional<WallTime>
{
    const auto found = this->tenures.find(cell);
    return found == this->tenures.end() ? std::nullopt : std::make_optional(found->second.since);
}

auto TenureState::knownFrom(CellId cell) const -> std::optional<KnownFrom>
{
    const auto found = this->tenures.find(cell);
    if (found == this->tenures.end()) {
        return std::nullopt;
    }
    const auto &tenure = found->second;
    return tenure.inherited.value_or(KnownFrom { tenure.since, {} });
}

auto TenureState::isClaiming(CellId cell) const -> bool
{
    return this->claimedCells.count(cell) != 0;
}

auto TenureState::formerHome(CellId cell) const -> HostId
{
    const auto found = this->tenures.find(cell);
    return found == this->tenures.end() ? HostId() : found->second.formerHome;
}

auto TenureState::begin(CellId cell, Tenure tenure) -> void
{
    this->claimedCells.erase(cell);
    this->tenures[cell] = tenure;
}

auto TenureState::end(CellId cell) -> bool
{
    return this->tenures.erase(cell) != 0;
}

auto TenureState::setClaiming(CellId cell, bool claiming) -> void
{
    if (claiming) {
        this->claimedCells.insert(cell);
    } else {
        this->claimedCells.erase(cell);
    }
}

auto TenureState::forgetFormer(HostId host) -> void
{
    for (auto &[cell, tenure] : this->tenures) {
        if (tenure.formerHome == host) {
            tenure.formerHome = HostId();
        }
    }
}

} // namespace flamingograde
