/// Evacuation orders of availability zones.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/directoryupdate.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>
#include <flamingograde/zoneevacuation.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace flamingograde {

/// Stores the newest order of each zone. Ended evacuations stay stored, so that other hosts learn
/// that they ended.
/// @remarks Not thread safe.
class ZoneEvacuations
{
public:
    /// An order, with the time at which it changed the zone's state on this host.
    struct StoredOrder
    {
        ZoneEvacuation order; ///< Revision 0: known only from an earlier epoch.
        MonoTime since;
        std::optional<MonoTime> endsAt; ///< Set while the order is known only from an earlier
                                        ///< epoch: it ends then unless it is given again.
    };
    using ZoneSet = std::unordered_set<ZoneId>;

    /// Applies the orders of an update that are newer than the stored ones.
    ///
    /// Once `unlistedZonesMax` orders are stored, new ones are added only for zones that have
    /// upstreams: this bounds the memory that invalid keys can use. Precondition: none.
    /// @param zones the zones of the directory's upstreams.
    /// @returns the orders that changed whether their zone is evacuated.
    auto apply(const DirectoryUpdate &update, const ZoneSet &zones, MonoTime now)
            -> std::vector<ZoneEvacuation>;

    /// Makes all stored orders older than any of the epoch that begins. Precondition: none.
    auto beginEpoch(std::uint32_t epoch) -> void;

    /// Ends the evacuations known only from an earlier epoch that were not ordered again in time.
    /// @param at the directory's revision, as which their ends count. Precondition: none.
    /// @returns the orders that ended.
    auto endUnconfirmed(Revision at, MonoTime now) -> std::vector<ZoneEvacuation>;

    /// Returns whether a zone is evacuated, so that its upstreams receive no new flows.
    /// Precondition: none.
    [[nodiscard]] auto isEvacuated(ZoneId zone) const -> bool;

    /// Returns the orders newer than `after`; if it is invalid, all orders in force.
    /// Precondition: none.
    [[nodiscard]] auto changedAfter(Revision after) const -> std::vector<ZoneEvacuation>;

    /// Returns every stored order, including ended ones.
    [[nodiscard]] auto all() const -> const std::map<ZoneId, StoredOrder> & { return this->orders; }

    /// Returns the number of evacuated zones.
    [[nodiscard]] auto evacuatedCount() const -> std::size_t { return this->evacuatedZoneCount; }

private:
    static constexpr std::size_t unlistedZonesMax = 256;

    auto applyOrder(const ZoneEvacuation &order, bool mayInsert, MonoTime now) -> bool;
    auto endAbsent(const DirectoryUpdate &update, MonoTime now,
                   std::vector<ZoneEvacuation> &changed) -> void;
    auto setEnds(MonoTime end) -> void;

    std::map<ZoneId, StoredOrder> orders;
    std::size_t evacuatedZoneCount = 0;
};

} // namespace flamingograde
