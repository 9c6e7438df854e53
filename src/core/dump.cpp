/// Writes the blackboard as JSON.
#include "core/dump.h"

#include "core/blackboard.h"
#include "core/flowadmission/admitflow.h"
#include "core/hexid.h"
#include "core/homes/celldump.h"
#include "core/milliseconds.h"
#include "core/packets/packetdump.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace flamingograde {

namespace {

using nlohmann::json;

/// In the order of `Stage`.
constexpr std::array<const char *, 8> stageNames {
    "placing", "relayed", "admitting", "looking", "attached", "queued", "dispatched", "answering"
};
/// In the order of `FeedStage`.
constexpr std::array<const char *, 4> feedStageNames { "opening", "open", "waiting", "ending" };
/// In the order of `MemberState`.
constexpr std::array<const char *, 4> memberStateNames { "alive", "leaving", "suspect", "dead" };

template<std::size_t N, typename E>
auto nameOf(const std::array<const char *, N> &names, E value) -> const char *
{
    return names.at(static_cast<std::size_t>(value));
}

auto hostJson(const Blackboard &board) -> json
{
    const auto &self = board.init.self;
    return { { "name", self.name },
             { "zone", self.zoneName },
             { "peer", self.peer.toString() },
             { "relay", self.relay.toString() },
             { "stopping", board.stop.stopping },
             { "closed", board.stop.listenersClosed } };
}

/// Returns the time since the platform last answered, or null if it never did.
auto platformAgeJson(const Blackboard &board) -> json
{
    if (!board.config.platformKnown) {
        return nullptr;
    }
    return milliseconds(board.config.platformAge(board.now.mono));
}

auto configJson(const Blackboard &board) -> json
{
    return { { "revision", board.config.revision.number },
             { "digest", hexOf(StrongId<struct DigestTag>(board.config.digest)) },
             { "platform_age_ms", platformAgeJson(board) },
             { "key_placements", board.config.placements.entries().size() },
             { "key_placements_agreed", board.config.placements.isAgreed() },
             { "rows", board.table().rows().size() },
             { "upstreams", board.table().upstreams().size() } };
}

auto membersJson(const Blackboard &board) -> json
{
    auto list = json::array();
    for (const auto &[id, record] : board.membership.records()) {
        const auto &member = record.member;
        list.push_back({ { "name", member.name },
                         { "zone", member.zoneName },
                         { "state", nameOf(memberStateNames, member.state) },
                         { "incarnation", member.incarnation },
                         { "connected", record.connected },
                         { "listed", record.listed },
                         { "revision", record.revision.number },
                         { "heard_ms_ago", milliseconds(board.now.mono - record.heard) } });
    }
    return list;
}

/// Returns the cells of the table with their home hosts and the requests that this host runs and
/// queues in each.
auto cellsJson(const Blackboard &board) -> json
{
    auto list = json::array();
    std::map<CellId, const Upstream *> cells;
    for (const auto &upstream : board.table().upstreams()) {
        cells.emplace(upstream.cell(), &upstream);
    }
    for (const auto &[cell, upstream] : cells) {
        const auto home = board.membership.homeOf(cell, upstream->zone);
        list.push_back({ { "service", upstream->serviceName },
                         { "zone", upstream->zoneName },
                         { "home", board.membership.nameOf(home) },
                         { "tenure", board.tenure.since(cell).has_value() },
                         { "claiming", board.tenure.isClaiming(cell) },
                         { "former_home", board.membership.nameOf(board.tenure.formerHome(cell)) },
                         { "rows", cellRowsJson(board, cell) },
                         { "running", board.cells.runningIn(cell) },
                         { "queued", board.cells.queuedIn(cell) } });
    }
    return list;
}

auto upstreamsJson(const Blackboard &board) -> json
{
    auto list = json::array();
    for (const auto &upstream : board.table().upstreams()) {
        const auto active = upstream.state == UpstreamState::Active;
        list.push_back(
                { { "name", upstream.name },
                  { "service", upstream.serviceName },
                  { "state", active ? "active" : "draining" },
                  { "usable", board.upstreams.isUsable(upstream.id, board.now.mono) },
                  { "slots", upstream.slots },
                  { "effective_slots", board.upstreams.effectiveSlots(upstream, board.now.mono) },
                  { "running", board.cells.runningAt(upstream.cell(), upstream.id) },
                  { "health", upstreamHealthJson(board, upstream) },
                  { "quarantined", board.config.isQuarantined(upstream.id, board.now.mono) },
                  { "feeds", board.feeds.countAt(upstream.id) } });
    }
    return list;
}

auto exchangeJson(const Blackboard &board, const Exchange &exchange) -> json
{
    const auto *row = board.table().row(exchange.row);
    const auto *upstream = board.table().upstream(exchange.upstream);
    return { { "id", hexOf(exchange.id) },
             { "origin", exchange.origin == Origin::Caller ? "caller" : "relay" },
             { "row", row == nullptr ? hexOf(exchange.row) : row->name },
             { "stage", nameOf(stageNames, exchange.stage) },
             { "home", board.membership.nameOf(exchange.home) },
             { "upstream", upstream == nullptr ? std::string() : upstream->name },
             { "key", exchange.key },
             { "attempt", exchange.attempt },
             { "maybe_sent", exchange.maybeSent },
             { "caller_gone", exchange.callerGone },
             { "age_ms", milliseconds(board.now.mono - exchange.arrived) },
             { "left_ms", milliseconds(exchange.deadline - board.now.mono) } };
}

auto exchangesJson(const Blackboard &board) -> json
{
    std::vector<const Exchange *> oldest;
    for (const auto &[id, exchange] : board.exchanges.all()) {
        oldest.push_back(&exchange);
    }
    std::sort(oldest.begin(), oldest.end(), [](const Exchange *a, const Exchange *b) {
        return a->arrived != b->arrived ? a->arrived < b->arrived : a->id < b->id;
    });
    oldest.resize(std::min(oldest.size(), dumpListMax));
    auto list = json::array();
    for (const auto *exchange : oldest) {
        list.push_back(exchangeJson(board, *exchange));
    }
    return { { "count", board.exchanges.size() }, { "oldest", list } };
}

auto feedsJson(const Blackboard &board) -> json
{
    std::array<std::size_t, feedStageNames.size()> counts {};
    for (const auto &[id, feed] : board.feeds.all()) {
        ++counts.at(static_cast<std::size_t>(feed.stage));
    }
    json stages;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        stages[feedStageNames.at(i)] = counts.at(i);
    }
    return { { "count", board.feeds.size() }, { "stages", stages } };
}

auto statsJson(const Stats &stats) -> json
{
    json refused;
    for (std::size_t i = 0; i < stats.refused.size(); ++i) {
        if (stats.refused.at(i) > 0) {
            refused[std::string(toString(static_cast<RefusalReason>(i)))] = stats.refused.at(i);
        }
    }
    return { { "callers_arrived", stats.callersArrived },
             { "relays_arrived", stats.relaysArrived },
             { "dispatched", stats.dispatched },
             { "relayed", stats.relayed },
             { "answered", stats.answered },
             { "cut", stats.cut },
             { "retried", stats.retried },
             { "cancelled", stats.cancelled },
             { "replayed", stats.replayed },
             { "feeds_reopened", stats.feedsReopened },
             { "feeds_ended", stats.feedsEnded },
             { "refused", refused },
             { "pauses", stats.pauses },
             { "tenures_begun", stats.tenuresBegun },
             { "members_alive", stats.membersAlive },
             { "queued", stats.queued },
             { "running", stats.running },
             { "keys", stats.keys } };
}

auto addPacketGauges(const Blackboard &board, Stats &stats) -> void
{
    const auto *rows = board.directory.rows();
    stats.directoryRevision = board.directory.revision().number;
    stats.directoryEpoch = board.directory.currentEpoch();
    stats.directoryCurrent = board.freshness.isCurrent(board.now.mono) ? 1 : 0;
    const auto age = board.now.mono - board.freshness.asOf().value_or(board.now.mono);
    stats.directoryAgeMs = static_cast<std::uint64_t>(milliseconds(age));
    stats.rowsVersion = rows == nullptr ? 0 : rows->version;
    stats.upstreams = board.directory.listedCount();
    stats.flows = board.packets.flows.used;
    stats.services = serviceStatsOf(board);
    stats.upstreamsLimited = board.directory.coldLimitedCount();
    stats.zonesEvacuated = board.directory.evacuations().evacuatedCount();
    for (const auto &entry : board.directory.entries()) {
        stats.upstreamsSilent += entry.evidence.isSilent() ? 1 : 0;
    }
}

} // namespace

auto statsOf(const Blackboard &board) -> Stats
{
    auto stats = board.stats;
    stats.revision = board.config.revision.number;
    stats.membersAlive = board.membership.aliveCount();
    stats.exchanges = board.exchanges.size();
    stats.feeds = board.feeds.size();
    stats.queued = 0;
    stats.running = 0;
    for (const auto &load : board.cells.ownLoads()) {
        stats.queued += load.queued;
        stats.running += load.running;
    }
    addPacketGauges(board, stats);
    return stats;
}

auto dumpOf(const Blackboard &board) -> std::string
{
    json dump { { "host", hostJson(board) },
                { "members", membersJson(board) },
                { "config", configJson(board) },
                { "cells", cellsJson(board) },
                { "upstreams", upstreamsJson(board) },
                { "exchanges", exchangesJson(board) },
                { "feeds", feedsJson(board) },
                { "keys",
                  { { "count", board.keys.size() },
                    { "answer_bytes", board.keys.answerBytes() } } },
                { "retries_left", board.retryBudget.left() },
                { "stats", statsJson(statsOf(board)) } };
    if (board.init.readsDirectory) {
        dump["directory"] = directoryJson(board);
    }
    return dump.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace flamingograde
