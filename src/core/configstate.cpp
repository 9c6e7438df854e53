/// Questions on the table in force and its forerunners.
#include "core/configstate.h"

#include "core/keyplacement.h"

#include <algorithm>

namespace flamingograde {

auto ConfigState::isQuarantined(UpstreamId upstream, MonoTime now) const -> bool
{
    const auto found = this->quarantinedUntil.find(upstream);
    return found != this->quarantinedUntil.end() && now < found->second;
}

auto ConfigState::Past::leftAt(Revision told) const -> WallTime
{
    const auto isTold = this->table == nullptr && !(told < this->next);
    return isTold ? WallTime() : this->left.value_or(neverPlaced);
}

auto ConfigState::keyPlacedSince(ServiceId service, const std::string &key, Revision told) const
        -> WallTime
{
    const auto zone = zoneOfKey(*this->table, service, key);
    for (auto it = this->past.rbegin(); it != this->past.rend(); ++it) {
        if (it->table == nullptr || zoneOfKey(*it->table, service, key) != zone) {
            return it->leftAt(told);
        }
    }
    return {};
}

auto ConfigState::placedSince(ServiceId service, Revision told) const -> WallTime
{
    for (auto it = this->past.rbegin(); it != this->past.rend(); ++it) {
        if (it->table == nullptr || !placesAlike(*it->table, *this->table, service)) {
            return it->leftAt(told);
        }
    }
    return {};
}

auto ConfigState::noteSettled(Revision newest, WallTime now) -> void
{
    this->settled = std::max(this->settled, newest);
    for (auto &entry : this->past) {
        if (!entry.left && !(this->settled < entry.next)) {
            entry.left = std::max(now, entry.until);
        }
    }
}

auto ConfigState::platformAge(MonoTime now) const -> Duration
{
    return this->platformKnown ? now - this->platformHeard : Duration::max();
}

auto ConfigState::notePlatform(MonoTime at) -> void
{
    this->platformHeard = this->platformKnown ? std::max(this->platformHeard, at) : at;
    this->platformKnown = true;
}

} // namespace flamingograde
