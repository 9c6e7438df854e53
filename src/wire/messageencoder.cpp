/// Wire format of the messages between hosts.
///
/// Keys are one letter. Members, loads and other nested records are arrays with a fixed order of
/// fields. The IDs of members and their zones are not sent; the receiver derives them from the
/// names.
#include "wire/messagecodec.h"

#include "core/milliseconds.h"
#include "wire/directorycodec.h"

#include <nlohmann/json.hpp>

namespace flamingograde {

namespace {

using Json = nlohmann::json;

template<typename Id>
auto packIds(const std::vector<Id> &ids) -> Json
{
    auto list = Json::array();
    for (const auto id : ids) {
        list.push_back(id.value());
    }
    return list;
}

auto pack(const Member &member) -> Json
{
    return Json::array({ member.name, member.zoneName, member.peer.ip, member.peer.port,
                         member.relay.ip, member.relay.port, member.incarnation,
                         static_cast<std::uint8_t>(member.state), member.linkMbps });
}

auto pack(const CellLoad &load) -> Json
{
    return Json::array({ load.cell.value(), load.slots, load.running, load.queued });
}

auto pack(const std::vector<ServiceDemand> &services) -> Json
{
    auto list = Json::array();
    for (const auto &demand : services) {
        const auto perSecond = demand.requestsPerSecond * demandScale;
        list.push_back(Json::array({ demand.service.value(), static_cast<std::uint64_t>(perSecond),
                                     demand.underWay }));
    }
    return list;
}

auto pack(const DemandReports &reports) -> Json
{
    auto zones = Json::array();
    for (const auto &total : reports.zones) {
        zones.push_back(
                Json::array({ total.zone.value(), milliseconds(total.age), pack(total.services) }));
    }
    return Json::array({ pack(reports.part), std::move(zones) });
}

auto pack(const Gossip &gossip) -> Json
{
    Json map = { { "r", gossip.revision.number }, { "d", gossip.tableDigest },
                 { "a", gossip.platformAgeMs },   { "p", gossip.placements },
                 { "s", gossip.agreed },          { "y", gossip.directory.number } };
    if (gossip.directory.epoch != 0) {
        map["e"] = gossip.directory.epoch;
    }
    if (gossip.directoryAgeMs) {
        map["g"] = *gossip.directoryAgeMs;
    }
    if (gossip.clockMs != 0) {
        map["c"] = gossip.clockMs;
    }
    if (gossip.echoMs != 0) {
        map["b"] = gossip.echoMs;
    }
    if (gossip.members != 0) {
        map["m"] = gossip.members;
    }
    if (gossip.readsFail) {
        map["f"] = true;
    }
    if (gossip.hasPart) {
        map["h"] = true;
    }
    if (gossip.linkUse != LinkUse::None) {
        map["k"] = static_cast<std::uint8_t>(gossip.linkUse);
    }
    if (!gossip.updates.empty()) {
        auto &updates = map["u"] = Json::array();
        for (const auto &member : gossip.updates) {
            updates.push_back(pack(member));
        }
    }
    if (!gossip.demand.isEmpty()) {
        map["w"] = pack(gossip.demand);
    }
    if (!gossip.loads.empty()) {
        auto &loads = map["l"] = Json::array();
        for (const auto &load : gossip.loads) {
            loads.push_back(pack(load));
        }
    }
    return map;
}

auto packTime(WallTime time) -> std::int64_t
{
    return time.time_since_epoch().count();
}

/// The time of agreement is an array: empty if the placement is not agreed, else of one element.
auto pack(const TablePlacement &placement) -> Json
{
    auto zones = Json::array();
    for (const auto &zone : placement.zones) {
        zones.push_back({ zone.service.value(), zone.zone.value(),
                          static_cast<std::uint64_t>(zone.slots) });
    }
    auto agreed = Json::array();
    if (placement.agreed) {
        agreed.push_back(packTime(*placement.agreed));
    }
    return Json::array({ placement.revision.number, packTime(placement.published), agreed, zones });
}

auto pack(const Hello &message) -> Json
{
    return { { "m", pack(message.self) }, { "g", pack(message.gossip) } };
}

auto pack(const Ping &message) -> Json
{
    return { { "s", message.sequence }, { "g", pack(message.gossip) } };
}

auto pack(const Ack &message) -> Json
{
    return { { "s", message.sequence }, { "g", pack(message.gossip) } };
}

auto pack(const PingRequest &message) -> Json
{
    return { { "s", message.sequence }, { "h", message.target.value() } };
}

auto pack(const PingReport &message) -> Json
{
    return { { "s", message.sequence }, { "h", message.target.value() }, { "a", message.alive } };
}

auto pack(const TableRequest &message) -> Json
{
    return { { "r", message.have.number } };
}

auto pack(const TableBody &message) -> Json
{
    Json map = { { "r", message.revision.number },
                 { "x", message.text },
                 { "b", packTime(message.published) } };
    auto &placements = map["p"] = Json::array();
    for (const auto &placement : message.placements) {
        placements.push_back(pack(placement));
    }
    return map;
}

auto pack(const ClaimRequest &message) -> Json
{
    return { { "n", message.round },
             { "c", packIds(message.cells) },
             { "i", message.claim },
             { "v", packIds(message.voters) } };
}

auto pack(const CellKnowledge &knowledge) -> Json
{
    auto keys = Json::array();
    for (const auto &key : knowledge.keys) {
        keys.push_back(
                Json::array({ key.hash, static_cast<std::uint8_t>(key.state), key.dispatchedUs }));
    }
    return Json::array({ knowledge.cell.value(), knowledge.knownSinceUs,
                         knowledge.coveredRevision.number, std::move(keys) });
}

auto pack(const ClaimGrant &message) -> Json
{
    Json map = { { "n", message.round },
                 { "f", packIds(message.refused) },
                 { "c", packIds(message.granted) },
                 { "b", packIds(message.held) } };
    if (!message.knowledge.empty()) {
        auto &knowledge = map["k"] = Json::array();
        for (const auto &entry : message.knowledge) {
            knowledge.push_back(pack(entry));
        }
    }
    return map;
}

auto pack(const ClaimRelease &message) -> Json
{
    return { { "i", message.claim }, { "c", packIds(message.cells) } };
}

auto pack(const KeyLookup &message) -> Json
{
    return { { "s", message.sequence }, { "c", message.cell.value() }, { "k", message.key } };
}

auto pack(const KeyReport &message) -> Json
{
    return { { "s", message.sequence },
             { "k", static_cast<std::uint8_t>(message.state) },
             { "b", message.tenureSinceUs } };
}

auto packPosition(const DirectoryPosition &position) -> Json
{
    return Json::array({ position.isPastZone, position.after.value() });
}

auto pack(const DirectoryRequest &message) -> Json
{
    Json map { { "r", message.have.number } };
    if (message.have.epoch != 0) {
        map["e"] = message.have.epoch;
    }
    if (message.position) {
        map["p"] = packPosition(*message.position);
    }
    return map;
}

auto pack(const DirectoryUpdate &message) -> Json
{
    return packUpdate(message);
}

auto pack(const DirectoryPage &message) -> Json
{
    Json map { { "d", packUpdate(message.update) }, { "p", packPosition(message.position) } };
    if (message.next) {
        map["n"] = packPosition(*message.next);
    }
    if (message.isPart) {
        map["h"] = true;
    }
    return map;
}

} // namespace

auto encode(const Message &message) -> std::vector<std::uint8_t>
{
    auto map = std::visit([](const auto &it) { return pack(it); }, message);
    map["t"] = message.index();
    return Json::to_cbor(map);
}

} // namespace flamingograde
