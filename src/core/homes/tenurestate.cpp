/// Look-ups of the cells that this host is home of.
#include "core/homes/tenurestate.h"

namespace flamingograde {

auto TenureState::since(CellId cell) const -> std::optional<WallTime>
{
    const auto found = this->held.find(cell);
    return found == this->held.end() ? std::nullopt : std::make_optional(found->second.since);
}

auto TenureState::knownFrom(CellId cell) const -> std::optional<KnownFrom>
{
    const auto found = this->held.find(cell);
    if (found == this->held.end()) {
        return std::nullopt;
    }
    const auto &tenure = found->second;
    return tenure.told.value_or(KnownFrom { tenure.since, {} });
}

auto TenureState::isClaiming(CellId cell) const -> bool
{
    return this->claimed.count(cell) != 0;
}

auto TenureState::formerHome(CellId cell) const -> HostId
{
    const auto found = this->held.find(cell);
    return found == this->held.end() ? HostId() : found->second.former;
}

auto TenureState::begin(CellId cell, Tenure tenure) -> void
{
    this->claimed.erase(cell);
    this->held[cell] = tenure;
}

auto TenureState::end(CellId cell) -> bool
{
    return this->held.erase(cell) != 0;
}

auto TenureState::setClaiming(CellId cell, bool claiming) -> void
{
    if (claiming) {
        this->claimed.insert(cell);
    } else {
        this->claimed.erase(cell);
    }
}

auto TenureState::forgetFormer(HostId host) -> void
{
    for (auto &[cell, tenure] : this->held) {
        if (tenure.former == host) {
            tenure.former = HostId();
        }
    }
}

} // namespace flamingograde
