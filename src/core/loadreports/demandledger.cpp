/// Freshness and sums of demand reports.
#include "core/loadreports/demandledger.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingograde {

auto addDemand(DemandSums &sums, const std::vector<ServiceDemand> &services, Duration age) -> void
{
    for (const auto &service : services) {
        auto &sum = sums[service.service];
        sum.requestsPerSecond += service.requestsPerSecond;
        sum.underWay += service.underWay;
        sum.oldest = std::max(sum.oldest, age);
    }
}

auto toReport(const DemandSums &sums) -> std::vector<ServiceDemand>
{
    std::vector<ServiceDemand> report;
    for (const auto &[service, sum] : sums) {
        report.push_back({ service, sum.requestsPerSecond,
                           static_cast<std::uint32_t>(std::lround(sum.underWay)) });
    }
    if (report.size() > config::demandServicesMax) {
        std::sort(report.begin(), report.end(), [](const auto &a, const auto &b) {
            return a.requestsPerSecond > b.requestsPerSecond;
        });
        report.resize(config::demandServicesMax);
    }
    return report;
}

auto DemandLedger::isFresh(const Report &report, MonoTime now) -> bool
{
    return now - report.at < config::loadFresh;
}

auto DemandLedger::add(DemandSums &sums, const Report &report, MonoTime now) -> bool
{
    const auto counts = isFresh(report, now);
    if (counts) {
        addDemand(sums, report.services, now - report.at);
    }
    return counts;
}

auto DemandLedger::notePart(HostId host, std::vector<ServiceDemand> services, MonoTime now) -> void
{
    this->parts[host] = { now, std::move(services) };
}

auto DemandLedger::noteZone(const ZoneDemand &total, MonoTime now) -> void
{
    const auto at = now - total.age;
    const auto [found, added] = this->totals.try_emplace(total.zone, Report { at, total.services });
    if (!added && found->second.at < at) {
        found->second = { at, total.services };
    }
}

auto DemandLedger::addZone(DemandSums &sums, ZoneId zone, MonoTime now) const -> bool
{
    const auto found = this->totals.find(zone);
    return found != this->totals.end() && add(sums, found->second, now);
}

auto DemandLedger::addZonesExcept(DemandSums &sums, ZoneId except, MonoTime now) const -> void
{
    for (const auto &[zone, report] : this->totals) {
        if (zone != except) {
            add(sums, report, now);
        }
    }
}

auto DemandLedger::zones(ZoneId except, MonoTime now) const -> std::vector<ZoneDemand>
{
    std::vector<ZoneDemand> result;
    for (const auto &[zone, report] : this->totals) {
        if (zone != except && isFresh(report, now) && result.size() < config::demandZonesMax) {
            result.push_back({ zone, now - report.at, report.services });
        }
    }
    return result;
}

auto DemandLedger::forgetOld(MonoTime now) -> void
{
    const auto dropOld = [now](auto &reports) {
        for (auto it = reports.begin(); it != reports.end();) {
            it = isFresh(it->second, now) ? std::next(it) : reports.erase(it);
        }
    };
    dropOld(this->parts);
    dropOld(this->totals);
}

} // namespace flamingograde
