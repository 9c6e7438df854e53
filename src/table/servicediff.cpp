/// Compares the capacity, key placement and addresses of each service in two tables.
#include "core/keys/keyplacement.h"
#include "table/changelist.h"
#include "table/entrydiff.h"
#include "table/formatting.h"

#include <flamingograde/table.h>

#include <algorithm>
#include <map>
#include <string>
#include <unordered_set>

namespace flamingograde {

namespace {

constexpr std::size_t sampleKeyCount = 1000;
constexpr double capacityWarningShare = 0.5; // Warn if less than this of the old slots remains.

auto activeSlotsOf(const Table &table, ServiceId service) -> double
{
    double slots = 0;
    for (const auto zone : table.zonesOf(service)) {
        slots += activeSlots(table, service, zone);
    }
    return slots;
}

auto hasNonIdempotentRow(const Table &table, ServiceId service) -> bool
{
    return std::any_of(table.rows().begin(), table.rows().end(), [service](const Row &row) {
        return row.service == service && !row.idempotent;
    });
}

/// Returns the share of idempotency keys, estimated on a sample, whose zone changes.
auto movedKeyShare(const Table &before, const Table &after, ServiceId service) -> double
{
    const auto oldZones = activeZones(before);
    const auto newZones = activeZones(after);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < sampleKeyCount; ++i) {
        const auto key = "sample-" + std::to_string(i);
        if (zoneOfKey(oldZones, service, key) != zoneOfKey(newZones, service, key)) {
            ++moved;
        }
    }
    return static_cast<double>(moved) / sampleKeyCount;
}

auto zoneSlotsDiffer(const Table &before, const Table &after, ServiceId service) -> bool
{
    const auto differs = [&](ZoneId zone) {
        return activeSlots(before, service, zone) != activeSlots(after, service, zone);
    };
    const auto &oldZones = before.zonesOf(service);
    const auto &newZones = after.zonesOf(service);
    return std::any_of(oldZones.begin(), oldZones.end(), differs)
           || std::any_of(newZones.begin(), newZones.end(), differs);
}

auto slotsText(double before, double after) -> std::string
{
    return std::to_string(static_cast<std::uint64_t>(before)) + " -> "
           + std::to_string(static_cast<std::uint64_t>(after));
}

auto diffCapacity(const std::string &subject, double before, double after, ChangeList &changes)
        -> void
{
    if (after == 0) {
        changes.add(subject + " has no active upstream", "its rows refuse all requests");
        return;
    }
    if (before != after) {
        const auto isLargeDrop = after < before * capacityWarningShare;
        changes.add(subject + ": active slots " + slotsText(before, after),
                    isLargeDrop ? "less than half of the slots is left; see that they can "
                                  "carry the load"
                                : "");
    }
}

auto diffKeys(const std::string &subject, const Table &before, const Table &after,
              ServiceId service, ChangeList &changes) -> void
{
    if (!hasNonIdempotentRow(after, service) || !zoneSlotsDiffer(before, after, service)) {
        return;
    }
    const auto moved = movedKeyShare(before, after, service);
    if (moved > 0) {
        changes.add(subject + ": about " + percentText(moved)
                            + " of its idempotency keys move to another zone",
                    "a retry of a request sent before the change may be answered \"unknown\" while "
                    "a host is cut off; change as few zones as possible, at a time of low load");
    }
}

auto diffService(const Row &row, const Table &before, const Table &after, ChangeList &changes)
        -> void
{
    const auto subject = "service \"" + row.serviceName + "\"";
    const auto oldSlots = activeSlotsOf(before, row.service);
    const auto newSlots = activeSlotsOf(after, row.service);
    if (oldSlots == 0 && newSlots == 0 && !before.upstreamsOf(row.service).empty()) {
        return;
    }
    diffCapacity(subject, oldSlots, newSlots, changes);
    if (oldSlots > 0 && newSlots > 0) {
        diffKeys(subject, before, after, row.service, changes);
    }
}

/// The row or upstream that has an address.
struct AddressOwner
{
    std::string name;
    std::string service;
};

using AddressOwners = std::map<Address, AddressOwner>;

auto addressOwners(const Table &table) -> AddressOwners
{
    AddressOwners owners;
    for (const auto &row : table.rows()) {
        owners.emplace(row.address, AddressOwner { row.name, row.serviceName });
    }
    for (const auto &upstream : table.upstreams()) {
        owners.emplace(upstream.address, AddressOwner { upstream.name, upstream.serviceName });
    }
    return owners;
}

} // namespace

auto diffServices(const Table &before, const Table &after, ChangeList &changes) -> void
{
    std::unordered_set<ServiceId> seen;
    for (const auto &row : after.rows()) {
        if (seen.insert(row.service).second) {
            diffService(row, before, after, changes);
        }
    }
}

auto diffAddresses(const Table &before, const Table &after, ChangeList &changes) -> void
{
    const auto old = addressOwners(before);
    for (const auto &[address, owner] : addressOwners(after)) {
        const auto found = old.find(address);
        const auto hasMoved = found != old.end() && found->second.service != owner.service;
        if (hasMoved && found->second.name != owner.name) {
            changes.add("address " + address.toString() + ": service \"" + found->second.service
                                + "\" -> \"" + owner.service + "\"",
                        "what is sent to it under the old table reaches another service; leave "
                        "the address unused for one revision first");
        }
    }
}

} // namespace flamingograde
