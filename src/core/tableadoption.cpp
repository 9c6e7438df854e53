/// What changes in a host when another table comes into force.
#include "core/tableadoption.h"

#include "core/blackboard.h"

#include <algorithm>
#include <map>
#include <set>

namespace flamingograde {

namespace {

/// Most tables remembered for the placement of keys.
constexpr std::size_t pastTablesMax = 16;

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
            board.log(LogEvent::AddressQuarantined, upstream.address.toString() + " from service "
                                                            + owner.serviceName + " to "
                                                            + upstream.serviceName);
        } else if (waiting != board.config.quarantinedUntil.end()) {
            until[upstream.id] = waiting->second;
        }
    }
    return until;
}

/// Remembers the table in force as a past one and forgets those that no key can depend on.
auto keepPast(Blackboard &board, Revision next) -> void
{
    auto &past = board.config.past;
    const auto known = board.config.revision.isValid();
    past.push_back({ known ? board.config.table : nullptr, next, {}, board.now.wall });
    const auto oldest = board.now.wall - config::keyLifetime;
    const auto isOver = [oldest](const auto &entry) { return entry.left && *entry.left < oldest; };
    past.erase(std::remove_if(past.begin(), past.end(), isOver), past.end());
    if (past.size() > pastTablesMax) {
        past.erase(past.begin());
        past.front().table = nullptr;
    }
}

} // namespace

auto adoptTable(Blackboard &board, Table table, Revision revision, const std::string &text) -> void
{
    const auto before = board.config.table;
    const auto after = std::make_shared<const Table>(std::move(table));
    board.config.quarantinedUntil = quarantineOf(board, *before, *after);
    keepPast(board, revision);
    board.config.table = after;
    board.config.revision = revision;
    board.config.text = text;
    board.config.digest = hashName(text);
    board.stats.revision = revision.number;
    ++board.stats.tablesAccepted;
    board.config.noteSettled(board.config.settled, board.now.wall);
    moveListeners(board, *before, *after);
    board.log(LogEvent::TableAccepted, "revision " + std::to_string(revision.number));
}

} // namespace flamingograde
