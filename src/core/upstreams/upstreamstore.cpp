/// State of upstreams that is not part of the table.
#include "core/upstreams/upstreamstore.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns the usable slots of an upstream. If it is cold, they grow linearly from one to all of
/// them within `config::rampTime`.
auto rampedSlots(const UpstreamHealth &health, std::uint32_t slots, MonoTime now) -> std::uint32_t
{
    if (!health.rampSince.has_value()) {
        return slots;
    }
    const auto elapsed = std::chrono::duration<double>(now - *health.rampSince);
    const auto part = elapsed / std::chrono::duration<double>(config::rampTime);
    const auto more = std::clamp(part, 0.0, 1.0) * (slots - 1);
    return 1 + static_cast<std::uint32_t>(more);
}

/// Returns whether probes report a problem and no traffic has succeeded since they started to.
auto hasFailingProbes(const UpstreamHealth &health) -> bool
{
    return health.failingProbesSince.has_value()
           && (!health.lastSuccess.has_value() || *health.lastSuccess < *health.failingProbesSince);
}

} // namespace

auto UpstreamStore::find(UpstreamId upstream) const -> const UpstreamHealth *
{
    const auto found = this->byId.find(upstream);
    return found == this->byId.end() ? nullptr : &found->second;
}

auto UpstreamStore::isUsable(UpstreamId upstream, MonoTime now) const -> bool
{
    const auto *health = this->find(upstream);
    return health == nullptr || !health->ejected || health->ejectedUntil <= now;
}

auto UpstreamStore::availableAt(UpstreamId upstream) const -> MonoTime
{
    const auto *health = this->find(upstream);
    if (health == nullptr) {
        return {};
    }
    return health->ejected ? std::max(health->ejectedUntil, health->pausedUntil)
                           : health->pausedUntil;
}

auto UpstreamStore::isLastResort(UpstreamId upstream) const -> bool
{
    const auto *health = this->find(upstream);
    return health != nullptr && health->ejections > 0 && hasFailingProbes(*health);
}

auto UpstreamStore::effectiveSlots(const Upstream &upstream, MonoTime now) const -> std::uint32_t
{
    const auto *health = this->find(upstream.id);
    if (health == nullptr || upstream.slots == 0) {
        return upstream.slots;
    }
    if (!this->isUsable(upstream.id, now) || health->pausedUntil > now) {
        return 0;
    }
    auto slots = rampedSlots(*health, upstream.slots, now);
    if (health->slotLimit.has_value()) {
        slots = std::min(slots, static_cast<std::uint32_t>(*health->slotLimit));
    }
    return hasFailingProbes(*health) ? 1 : std::max<std::uint32_t>(slots, 1);
}

} // namespace flamingograde
