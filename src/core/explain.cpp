/// Explains placements with the look-ups that also place requests.
#include "core/explain.h"

#include "core/blackboard.h"
#include "core/feeds/feedplacement.h"
#include "core/hexid.h"
#include "core/keys/idempotencykey.h"
#include "core/packets/packetdump.h"
#include "core/placement/placement.h"
#include "core/requests/token.h"

#include <nlohmann/json.hpp>

namespace flamingograde {

namespace {

using nlohmann::json;

auto upstreamName(const Blackboard &board, UpstreamId id) -> std::string
{
    const auto *upstream = board.table().upstream(id);
    return upstream == nullptr ? hexOf(id) : upstream->name;
}

auto tokenFaultName(TokenFault fault) -> const char *
{
    switch (fault) {
    case TokenFault::Malformed:
        return "malformed";
    case TokenFault::UnknownKey:
        return "unknown key";
    case TokenFault::Forged:
        break;
    }
    return "forged";
}

/// Lists the candidates of a feed without a token; which of them gets the feed is not known, as its
/// flow id is drawn at random when it arrives.
auto explainNewFeed(const Blackboard &board, const Row &row) -> json
{
    auto candidates = json::array();
    for (const auto index : board.table().upstreamsOf(row.service)) {
        const auto &upstream = board.table().upstreams()[index];
        if (isOpenFor(board, upstream.id, row.service)) {
            candidates.push_back({ { "upstream", upstream.name },
                                   { "weight", upstream.connections },
                                   { "feeds_here", board.feeds.countAt(upstream.id) } });
        }
    }
    return {
        { "why",
          "a new feed's flow id is hashed over these upstreams in proportion to their weight" },
        { "candidates", candidates }
    };
}

auto explainKey(const Blackboard &board, const Row &row, const std::string &key) -> json
{
    const auto zone = placementOfKey(board, row.service, key, keyCreationTime(key)).zone;
    if (!zone.isValid()) {
        return { { "why", "the service has no active upstream" } };
    }
    const auto cell = cellOf(row.service, zone);
    return { { "why", "the idempotency key decides the zone" },
             { "zone", zoneNameOf(board, cell) },
             { "home", board.membership.nameOf(board.membership.homeOf(cell, zone)) },
             { "key_has_birth", keyCreationTime(key).has_value() } };
}

auto explainByLoad(const Blackboard &board, const Row &row) -> json
{
    auto candidates = json::array();
    for (const auto &choice : cellChoices(board, row.service)) {
        const auto load = board.cells.loadOf(choice.cell, board.now.mono).value_or(CellLoad {});
        candidates.push_back({ { "zone", zoneNameOf(board, choice.cell) },
                               { "home", board.membership.nameOf(choice.home) },
                               { "ready", choice.ready },
                               { "weight", choice.slots },
                               { "running", load.running },
                               { "queued", load.queued } });
    }
    return { { "why", "the less loaded of two cells drawn by weight" },
             { "candidates", candidates } };
}

auto explainFlow(const Blackboard &board, const Row &row, const FlowToken &token) -> json
{
    const auto isFeed = row.kind == RequestKind::Feed;
    const auto keepsUpstream = isFeed ? board.table().upstream(token.upstream) != nullptr
                                      : isOpenFor(board, token.upstream, row.service);
    if (keepsUpstream) {
        return { { "why", "the flow token names this upstream" },
                 { "upstream", upstreamName(board, token.upstream) } };
    }
    if (isFeed) {
        return { { "why", "the flow token's upstream has left the table" },
                 { "refused", "stale-token" } };
    }
    return explainByLoad(board, row);
}

auto explainRow(const Blackboard &board, const Row &row, const std::string &token,
                const std::string &key) -> json
{
    if (!token.empty()) {
        const auto flow = verifyToken(token, board.table().tokenKeys());
        if (!flow) {
            return { { "why", tokenFaultName(flow.error()) }, { "refused", "bad-token" } };
        }
        if (flow->service != row.service) {
            return { { "why", "the flow token belongs to another service" },
                     { "refused", "bad-token" } };
        }
        if (row.idempotent) {
            return explainFlow(board, row, *flow);
        }
    }
    if (row.kind == RequestKind::Feed) {
        return explainNewFeed(board, row);
    }
    return row.idempotent || key.empty() ? explainByLoad(board, row) : explainKey(board, row, key);
}

auto explainRequest(const Blackboard &board, Address address, const std::string &token,
                    const std::string &key) -> json
{
    json answer { { "address", address.toString() }, { "revision", board.config.revision.number } };
    const auto *row = board.table().rowAt(address);
    if (row == nullptr) {
        answer["refused"] = "unknown-service";
        return answer;
    }
    answer["row"] = row->name;
    answer["service"] = row->serviceName;
    answer["kind"] = toString(row->kind);
    answer["placement"] = explainRow(board, *row, token, key);
    return answer;
}

} // namespace

auto explainOf(const Blackboard &board, Address address, const std::string &token,
               const std::string &key) -> std::string
{
    const auto answer = board.init.readsDirectory ? explainPacket(board, address, token)
                                                  : explainRequest(board, address, token, key);
    return answer.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace flamingograde
