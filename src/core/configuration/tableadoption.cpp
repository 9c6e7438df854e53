/// Updates listeners, quarantines and key placements when a new table comes into force.
#include "core/configuration/tableadoption.h"

#include "core/blackboard.h"
#include "core/keys/keyplacement.h"

#include <map>
#include <set>

namespace flamingograde {

namespace {

/// Opens the listeners of row addresses that are only in `after`, unless the listeners are closed
/// for a stop, and closes those that are only in `before`.
auto updateListeners(Blackboard &board, const Table &before, const Table &after) -> void
{
    for (const auto &row : before.rows()) {
        if (after.rowAt(row.address) == nullptr) {
            board.addAction(Unlisten { row.address });
        }
    }
    if (board.stop.listenersClosed) {
        return;
    }
    for (const auto &row : after.rows()) {
        if (before.rowAt(row.address) == nullptr) {
            board.addAction(Listen { row.address });
        }
    }
}

/// Returns the end of the quarantine of each upstream of `after` whose address belonged to another
/// service, either in `before` or in an earlier table whose quarantine has been kept.
auto quarantineEnds(Blackboard &board, const Table &before, const Table &after)
        -> std::unordered_map<UpstreamId, MonoTime>
{
    std::map<Address, const Upstream *> previousUpstreams;
    for (const auto &upstream : before.upstreams()) {
        previousUpstreams[upstream.address] = &upstream;
    }
    std::unordered_map<UpstreamId, MonoTime> until;
    for (const auto &upstream : after.upstreams()) {
        const auto found = previousUpstreams.find(upstream.address);
        if (found == previousUpstreams.end()) {
            continue;
        }
        const auto &previous = *found->second;
        const auto earlier = board.config.quarantinedUntil.find(previous.id);
        if (previous.service != upstream.service) {
            until[upstream.id] = board.now.mono + config::addressQuarantine;
            board.log(LogEvent::AddressQuarantined, "address=" + upstream.address.toString()
                                                            + " from=" + previous.serviceName
                                                            + " to=" + upstream.serviceName);
        } else if (earlier != board.config.quarantinedUntil.end()) {
            until[upstream.id] = earlier->second;
        }
    }
    return until;
}

} // namespace

auto adoptTable(Blackboard &board, Table table, const TableSource &source) -> void
{
    const auto before = board.config.table;
    const auto after = std::make_shared<const Table>(std::move(table));
    board.config.quarantinedUntil = quarantineEnds(board, *before, *after);
    board.config.table = after;
    board.config.revision = source.revision;
    board.config.text = source.text;
    board.config.published = source.published;
    board.config.digest = hashName(source.text);
    board.config.placements.merge(
            { { source.revision, source.published, activeZones(*after), {} } }, board.now.wall);
    board.stats.revision = source.revision.number;
    ++board.stats.tablesAccepted;
    updateListeners(board, *before, *after);
    board.log(LogEvent::TableAccepted, "revision=" + std::to_string(source.revision.number));
}

} // namespace flamingograde
