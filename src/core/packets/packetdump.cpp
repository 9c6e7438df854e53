/// JSON views of the directory and of placement, for operators.
#include "core/packets/packetdump.h"

#include "core/blackboard.h"
#include "core/flowadmission/admitflow.h"
#include "core/hexid.h"
#include "core/milliseconds.h"
#include "core/packets/flowowner.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

namespace flamingograde {

namespace {

using nlohmann::json;

auto nameOf(Presence presence) -> const char *
{
    switch (presence) {
    case Presence::Listed:
        return "listed";
    case Presence::Missing:
        return "missing";
    case Presence::Removed:
        break;
    }
    return "removed";
}

/// Returns the load of each service, and how many of its new flows were admitted and refused.
auto servicesJson(const Blackboard &board) -> json
{
    auto list = json::array();
    for (const auto &service : serviceStatsOf(board)) {
        auto flows = json::object();
        for (std::size_t i = 0; i < service.flows.size(); ++i) {
            flows[std::string(toString(static_cast<Admission>(i)))] = service.flows.at(i);
        }
        list.push_back({ { "name", service.name },
                         { "slots", service.slots },
                         { "under_way_here", service.underWay },
                         { "share", service.share },
                         { "load", service.hostLoad },
                         { "fleet_load", service.fleetLoad },
                         { "slot_ms", service.slotTimeMs },
                         { "flows", flows } });
    }
    return list;
}

/// Returns the milliseconds since `time`, or null if it was never set.
auto ageJson(const Blackboard &board, MonoTime time) -> json
{
    return time == MonoTime() ? json() : json(milliseconds(board.now.mono - time));
}

auto rowJson(const PacketRow &row) -> json
{
    auto shares = json::object();
    for (const auto &share : row.shares) {
        shares[share.serviceName] = share.weight;
    }
    return { { "name", row.name },
             { "address", row.address.toString() },
             { "services", shares },
             { "idempotent", row.idempotent },
             { "urgency", row.urgency },
             { "deadline_ms", milliseconds(row.deadline) },
             { "target_ms", milliseconds(row.target) } };
}

auto upstreamJson(const Blackboard &board, const UpstreamEntry &entry) -> json
{
    const auto &upstream = entry.record.upstream;
    const auto &evidence = entry.evidence;
    const auto isActive = upstream.state == UpstreamState::Active;
    return { { "name", upstream.name },
             { "service", upstream.serviceName },
             { "zone", upstream.zoneName },
             { "address", upstream.address.toString() },
             { "instance", hexOf(upstream.instance) },
             { "cookie", entry.cookie.value },
             { "owns_cookie", entry.ownsCookie },
             { "state", isActive ? "active" : "draining" },
             { "presence", nameOf(entry.presence) },
             { "changed", entry.newest.number },
             { "born_unix_ms", milliseconds(upstream.startedAt.time_since_epoch()) },
             { "usable", !entry.isFaulty },
             { "slots", upstream.slots },
             { "cold_limited", entry.isColdLimited },
             { "busy_here", evidence.pending },
             { "silent", evidence.isSilent() },
             { "silent_ms_ago", ageJson(board, evidence.silentSince.value_or(MonoTime())) },
             { "lost_ms_ago",
               ageJson(board, evidence.lostRequests.oldestAt().value_or(MonoTime())) },
             { "unanswered", evidence.unanswered },
             { "heard_ms_ago", ageJson(board, evidence.lastHeardAt) },
             { "handshake_ms", milliseconds(evidence.handshake) },
             { "response_ms", milliseconds(evidence.response) } };
}

/// Returns the cookie that a decimal text stands for, or nothing if it is malformed.
auto parseCookie(const std::string &text) -> std::optional<Cookie>
{
    Cookie cookie;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, cookie.value);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return cookie;
}

auto explainOpenFlow(const Blackboard &board, const RowEntry &row, const std::string &text) -> json
{
    const auto cookie = parseCookie(text);
    if (!cookie) {
        return { { "why", "the cookie is not a number of 32 bits" }, { "verdict", "drop" } };
    }
    const auto [entry, belongsToRow] = ownerOf(board, row, row.row->address, *cookie);
    if (entry == nullptr) {
        return { { "why", "no upstream that this host knows has the cookie" },
                 { "verdict", "drop" } };
    }
    json answer { { "upstream", upstreamJson(board, *entry) } };
    if (!belongsToRow) {
        answer["why"] = "the cookie's upstream is of a service that the row never had";
        answer["verdict"] = "drop";
    } else if (entry->presence == Presence::Removed) {
        answer["why"] = "the upstream has left the directory";
        answer["verdict"] = "reset";
    } else {
        answer["why"] = "the cookie names the upstream";
        answer["verdict"] = "forward";
    }
    return answer;
}

/// Returns why an upstream takes no new flows, or an empty text if it does.
auto closedReason(const Blackboard &board, const UpstreamEntry &entry) -> std::string
{
    if (entry.presence == Presence::Removed) {
        return "removed";
    }
    if (entry.record.upstream.state != UpstreamState::Active) {
        return "draining";
    }
    if (board.directory.evacuations().isEvacuated(entry.record.upstream.zone)) {
        return "its zone is evacuated";
    }
    if (entry.isRemovalContested) {
        return "removed, and still answering";
    }
    if (entry.isFaulty) {
        return "its entry cannot be used";
    }
    if (!entry.coldLimitAllowsFlow()) {
        return entry.allowance.hasRate() ? "cold: its request rate is used up"
                                         : "cold: this host has no share of its request rate";
    }
    if (!entry.ownsCookie) {
        return "shares the cookie of an older one";
    }
    return entry.evidence.isSilent() ? "silent: on trial only" : "";
}

auto explainNewFlow(const Blackboard &board, const RowEntry &row) -> json
{
    auto candidates = json::array();
    auto admission = json::array();
    for (const auto &share : row.row->shares) {
        admission.push_back(describeAdmission(board, *row.row, share.service, 0));
        for (const auto &entry : board.directory.entries()) {
            const auto &upstream = entry.record.upstream;
            if (!upstream.instance.isValid() || upstream.service != share.service) {
                continue;
            }
            candidates.push_back({ { "upstream", upstream.name },
                                   { "service_weight", share.weight },
                                   { "near", entry.isNear },
                                   { "busy_here", entry.evidence.pending },
                                   { "slots", upstream.slots },
                                   { "closed", closedReason(board, entry) } });
        }
    }
    return { { "why",
               "the service is drawn by weight; of its upstreams open to new flows the one least "
               "busy for its slots is chosen, in this zone unless that is crowded" },
             { "verdict", "forward" },
             { "admission", admission },
             { "candidates", candidates } };
}

auto evacuationsJson(const Blackboard &board) -> json
{
    auto list = json::array();
    for (const auto &[zone, entry] : board.directory.evacuations().all()) {
        list.push_back({ { "zone", entry.order.zoneName },
                         { "in_force", entry.order.inForce },
                         { "changed", entry.order.at.number },
                         { "since_ms_ago", ageJson(board, entry.since) } });
    }
    return list;
}

} // namespace

auto directoryJson(const Blackboard &board) -> json
{
    auto rows = json::array();
    const auto *published = board.directory.rows();
    if (published != nullptr) {
        for (const auto &row : published->rows) {
            rows.push_back(rowJson(row));
        }
    }
    auto upstreams = json::array();
    for (const auto &entry : board.directory.entries()) {
        if (entry.record.upstream.instance.isValid()) {
            upstreams.push_back(upstreamJson(board, entry));
        }
    }
    return { { "revision", board.directory.revision().number },
             { "epoch", board.directory.currentEpoch() },
             { "rows_version", published == nullptr ? 0 : published->version },
             { "reads_fail", board.directoryReadsFail },
             { "evacuations", evacuationsJson(board) },
             { "flows_watched", board.packets.flows.used },
             { "rows", rows },
             { "services", servicesJson(board) },
             { "upstreams", upstreams } };
}

auto explainPacket(const Blackboard &board, Address address, const std::string &cookie) -> json
{
    const auto *rows = board.directory.rows();
    json answer { { "address", address.toString() },
                  { "revision", board.directory.revision().number },
                  { "epoch", board.directory.currentEpoch() },
                  { "rows_version", rows == nullptr ? 0 : rows->version } };
    const auto *row = board.directory.rowAt(address);
    if (row == nullptr) {
        answer["refused"] = "unknown-service";
        answer["placement"] = { { "why", "no row has the address" }, { "verdict", "reset" } };
        return answer;
    }
    answer["row"] = row->row->name;
    answer["placement"] =
            cookie.empty() ? explainNewFlow(board, *row) : explainOpenFlow(board, *row, cookie);
    return answer;
}

} // namespace flamingograde
