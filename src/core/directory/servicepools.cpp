/// Pools of upstreams by service.
#include "core/directory/servicepools.h"

#include "core/directory/upstreamentry.h"

namespace flamingograde {

namespace {

const ServicePool emptyPool;

/// Decrements a count that is not 0.
auto decrement(std::uint32_t &count) -> bool
{
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

} // namespace

auto ServicePools::find(ServiceId service) const -> const ServicePool &
{
    const auto found = this->pools.find(service);
    return found == this->pools.end() ? emptyPool : found->second;
}

auto ServicePools::clear() -> void
{
    ++this->fillings;
    for (auto &[service, pool] : this->pools) {
        pool.near.clear();
        pool.far.clear();
        pool.cold.clear();
        pool.silent.clear();
        pool.nearSlots = 0;
        pool.farSlots = 0;
        pool.nearBusy = 0;
        pool.underWay = 0;
    }
}

auto ServicePools::add(UpstreamEntry &entry, std::uint32_t index) -> void
{
    const auto &upstream = entry.record.upstream;
    auto &pool = this->pools[upstream.service];
    if (pool.name.empty()) {
        pool.name = upstream.serviceName;
    }
    if (entry.isColdLimited) {
        if (entry.allowance.hasRate() && !entry.evidence.isSilent()) {
            pool.cold.push_back(index);
        }
        return;
    }
    // A missing upstream stays in the pool until its removal is confirmed. When the platform
    // recovers from an outage, most upstreams of a service are unregistered for some 100 ms;
    // sending all new flows to the few that registered first filled their queues (after a store
    // outage of 9 s, 12 of 12,600 requests were refused).
    if (entry.evidence.isSilent()) {
        pool.silent.push_back(index);
        return;
    }
    entry.isPooled = true;
    pool.underWay += entry.evidence.underWay;
    if (entry.isNear) {
        pool.near.push_back(index);
        pool.nearSlots += upstream.slots;
        pool.nearBusy += entry.evidence.pending;
    } else {
        pool.far.push_back(index);
        pool.farSlots += upstream.slots;
    }
}

auto ServicePools::beginRequest(UpstreamEntry &entry) -> void
{
    ++entry.evidence.pending;
    if (entry.isPooled && entry.isNear) {
        ++this->pools[entry.record.upstream.service].nearBusy;
    }
}

auto ServicePools::endRequest(UpstreamEntry &entry) -> void
{
    if (decrement(entry.evidence.pending) && entry.isPooled && entry.isNear) {
        --this->pools[entry.record.upstream.service].nearBusy;
    }
}

auto ServicePools::beginWork(UpstreamEntry &entry) -> void
{
    ++entry.evidence.underWay;
    if (entry.isPooled) {
        ++this->pools[entry.record.upstream.service].underWay;
    }
}

auto ServicePools::endWork(UpstreamEntry &entry) -> void
{
    if (decrement(entry.evidence.underWay) && entry.isPooled) {
        --this->pools[entry.record.upstream.service].underWay;
    }
}

} // namespace flamingograde
