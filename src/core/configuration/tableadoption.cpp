/// What changes in a host when another table comes into force.
#include "core/configuration/tableadoption.h"

#include "core/blackboard.h"
#include "core/keys/keyplacement.h"

#include <map>
#include <set>

namespace flamingograde {

namespace {

/// Opens and closes the addresses in which two tables differ.
auto moveListeners(Blackboard &board, const Table &before, const Table &after) -> void
{
    for (const auto &row : before.rows()) {
        if (after.rowAt(row.address) == nullptr) {
            board.act(Unlisten { row.address });
        }
    }
    if (board.stop.closed) {
        return;
    }
    for (const auto &row : after.rows()) {
        if (before.rowAt(row.address) == nullptr) {
            board.act(Listen { row.address });
        }
    }
}

/// Returns how long the upstreams of `table` wait that have an address of another service, now or
/// since the last change.
auto quarantineOf(Blackboard &board, const Table &before, const Table &after)
        -> std::unordered_map<UpstreamId, MonoTime>
{
    std::map<Address, const Upstream *> owners;
    for (const auto &upstream : before.upstreams()) {
        owners[upstream.address] = &upstream;
    }
    std::unordered_map<UpstreamId, MonoTime> until;
    for (const auto &upstream : after.upstreams()) {
        const auto old = owners.find(upstream.address);
        if (old == owners.end()) {
            continue;
        }
        const auto &owner = *old->second;
        const auto waiting = board.config.quarantinedUntil.find(owner.id);
        if (owner.service != upstream.service) {
            until[upstream.id] = board.now.mono + config::addressQuarantine;
            board.log(LogEvent::AddressQuarantined, "address=" + upstream.address.toString()
                                                            + " from=" + owner.serviceName
                                                            + " to=" + upstream.serviceName);
        } else if (waiting != board.config.quarantinedUntil.end()) {
            until[upstream.id] = waiting->second;
        }
    }
    return until;
}

} // namespace

auto adoptTable(Blackboard &board, Table table, const TableSource &source) -> void
{
    const auto before = board.config.table;
    const auto after = std::make_shared<const Table>(std::move(table));
    board.config.quarantinedUntil = quarantineOf(board, *before, *after);
    board.config.table = after;
    board.config.revision = source.revision;
    board.config.text = source.text;
    board.config.published = source.published;
    board.config.digest = hashName(source.text);
    board.config.placements.merge(
            { { source.revision, source.published, activeZones(*after), {} } }, board.now.wall);
    board.stats.revision = source.revision.number;
    ++board.stats.tablesAccepted;
    moveListeners(board, *before, *after);
    board.log(LogEvent::TableAccepted, "revision=" + std::to_string(source.revision.number));
}

} // namespace flamingograde
