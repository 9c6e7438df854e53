/// Quarantined addresses and the time since the platform was last heard.
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
    return this->platformKnown ? now - this->platformLastHeard : Duration::max();
}

auto ConfigState::notePlatform(MonoTime at) -> void
{
    this->platformLastHeard = this->platformKnown ? std::max(this->platformLastHeard, at) : at;
    this->platformKnown = true;
}

} // namespace flamingograde
