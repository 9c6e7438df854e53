/// Questions on the table in force and its forerunners.
#include "core/configuration/configstate.h"

#include <algorithm>

namespace flamingograde {

auto ConfigState::isQuarantined(UpstreamId upstream, MonoTime now) const -> bool
{
    const auto found = this->quarantinedUntil.find(upstream);
    return found != this->quarantinedUntil.end() && now < found->second;
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
