/// Demand as other hosts reported it.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/servicedemand.h>

#include <map>
#include <vector>

namespace flamingograde {

/// Demand for a service, added up over hosts.
struct DemandSum
{
    double requestsPerSecond = 0;
    double underWay = 0;
    Duration oldest { 0 }; ///< Age of the oldest report in the sum.
};

/// Sums by service.
using DemandSums = std::map<ServiceId, DemandSum>;

/// The newest report of each host and each availability zone.
///
/// A hub adds up the parts of the hosts that it feeds and of the zone's other hubs; the result is
/// the total of its zone, which it sends to these hosts and to other zones. Reports that are older
/// than `config::loadFresh` do not count, so those of a host that died or was cut off end by
/// themselves.
/// @remarks Not thread safe.
class DemandLedger
{
public:
    /// Stores the part of a host of the own zone. Precondition: `now` never decreases.
    auto notePart(HostId host, std::vector<ServiceDemand> services, MonoTime now) -> void;

    /// Stores the total of a zone, unless a newer one is known. Precondition: as `notePart`.
    auto noteZone(const ZoneDemand &total, MonoTime now) -> void;

    /// Adds the fresh parts of the hosts for which `counts` is true to `sums`.
    template<typename Predicate>
    auto addParts(DemandSums &sums, MonoTime now, Predicate counts) const -> void
    {
        for (const auto &[host, report] : this->parts) {
            if (counts(host)) {
                add(sums, report, now);
            }
        }
    }

    /// Adds the fresh total of `zone` to `sums`. Precondition: none.
    /// @returns whether there is one.
    auto addZone(DemandSums &sums, ZoneId zone, MonoTime now) const -> bool;

    /// Adds the fresh totals of all zones but `except` to `sums`. Precondition: none.
    auto addZonesExcept(DemandSums &sums, ZoneId except, MonoTime now) const -> void;

    /// Returns the fresh totals of all zones but `except`. Precondition: none.
    [[nodiscard]] auto zones(ZoneId except, MonoTime now) const -> std::vector<ZoneDemand>;

    /// Deletes the reports that no longer count. Precondition: none.
    auto forgetOld(MonoTime now) -> void;

private:
    struct Report
    {
        MonoTime at; ///< When it was added up, by this host's clock.
        std::vector<ServiceDemand> services;
    };

    [[nodiscard]] static auto isFresh(const Report &report, MonoTime now) -> bool;
    static auto add(DemandSums &sums, const Report &report, MonoTime now) -> bool;

    std::map<HostId, Report> parts;
    std::map<ZoneId, Report> totals;
};

/// Adds one host's or zone's demand, reported `age` ago, to `sums`. Precondition: none.
auto addDemand(DemandSums &sums, const std::vector<ServiceDemand> &services, Duration age) -> void;

/// Returns the sums as a report, at most `config::demandServicesMax` services, those with the most
/// requests. Precondition: none.
[[nodiscard]] auto toReport(const DemandSums &sums) -> std::vector<ServiceDemand>;

} // namespace flamingograde
