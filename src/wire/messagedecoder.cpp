/// Decoding of the messages between hosts. `messageencoder.cpp` describes the wire format.
#include "wire/messagecodec.h"

#include "wire/cborguard.h"
#include "wire/directorycodec.h"
#include "wire/wirereader.h"

#include <flamingograde/config.h>

#include <nlohmann/json.hpp>

#include <exception>
#include <limits>
#include <type_traits>

namespace flamingograde {

namespace {

using Json = nlohmann::json;

constexpr std::size_t depthMax = 8;           ///< Deepest nesting of a message.
constexpr std::size_t arraySizeMax = 100000;  ///< Longest array without a limit of its own.
constexpr std::size_t memberFields = 9;       ///< Fields of a member.
constexpr std::size_t loadFields = 4;         ///< Fields of the load of a cell.
constexpr std::size_t zoneFields = 3;         ///< Fields of a service's slots in a zone.
constexpr std::size_t placementFields = 4;    ///< Fields of a placement.
constexpr std::size_t knowledgeFields = 4;    ///< Fields of what a host knows of a cell's keys.
constexpr std::size_t handedKeyFields = 3;    ///< Fields of a key that is handed over.
constexpr std::size_t demandFields = 3;       ///< Fields of the demand for a service.
constexpr std::size_t zoneDemandFields = 3;   ///< Fields of the demand of a zone.
constexpr std::size_t demandReportFields = 2; ///< Parts of a demand report.
constexpr std::uint64_t uint32Max = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t uint16Max = std::numeric_limits<std::uint16_t>::max();

auto unpackAddress(WireReader &reader, const Json &ip, const Json &port) -> Address
{
    return { static_cast<std::uint32_t>(reader.number(ip, uint32Max)),
             static_cast<std::uint16_t>(reader.number(port, uint16Max)) };
}

auto unpackMember(WireReader &reader, const Json &value) -> Member
{
    Member member;
    const auto *fields = reader.tuple(value, memberFields);
    if (fields == nullptr) {
        return member;
    }
    const auto &at = *fields;
    constexpr auto lastState = static_cast<std::uint64_t>(MemberState::Dead);
    member.name = reader.name(at[0]);
    member.id = HostId::ofName(member.name);
    member.zoneName = reader.name(at[1]);
    member.zone = ZoneId::ofName(member.zoneName);
    member.peer = unpackAddress(reader, at[2], at[3]);
    member.relay = unpackAddress(reader, at[4], at[5]);
    member.incarnation = reader.number(at[6]);
    member.state = static_cast<MemberState>(reader.number(at[7], lastState));
    member.linkMbps = static_cast<std::uint32_t>(reader.number(at[8], uint32Max));
    return member;
}

auto unpackLoad(WireReader &reader, const Json &value) -> CellLoad
{
    const auto *fields = reader.tuple(value, loadFields);
    if (fields == nullptr) {
        return {};
    }
    const auto &at = *fields;
    return { CellId(reader.number(at[0])),
             static_cast<std::uint32_t>(reader.number(at[1], uint32Max)),
             static_cast<std::uint32_t>(reader.number(at[2], uint32Max)),
             static_cast<std::uint32_t>(reader.number(at[3], uint32Max)) };
}

auto unpackTime(WireReader &reader, const Json &value) -> WallTime
{
    return WallTime(Duration(reader.signedNumber(value)));
}

auto unpackZone(WireReader &reader, const Json &value) -> ZoneSlots
{
    const auto *fields = reader.tuple(value, zoneFields);
    if (fields == nullptr) {
        return {};
    }
    const auto &at = *fields;
    return { ServiceId(reader.number(at[0])), ZoneId(reader.number(at[1])),
             static_cast<double>(reader.number(at[2], uint32Max)) };
}

auto unpackPlacement(WireReader &reader, const Json &value) -> TablePlacement
{
    TablePlacement placement;
    const auto *fields = reader.tuple(value, placementFields);
    if (fields == nullptr) {
        return placement;
    }
    const auto &at = *fields;
    placement.revision = { reader.number(at[0]) };
    placement.published = unpackTime(reader, at[1]);
    for (const auto &agreed : reader.list(at[2], 1)) {
        placement.agreed = unpackTime(reader, agreed);
    }
    for (const auto &zone : reader.list(at[3], config::placementCellsMax)) {
        placement.zones.push_back(unpackZone(reader, zone));
    }
    return placement;
}

auto unpackServices(WireReader &reader, const Json &value) -> std::vector<ServiceDemand>
{
    std::vector<ServiceDemand> services;
    for (const auto &entry : reader.list(value, config::demandServicesMax)) {
        const auto *fields = reader.tuple(entry, demandFields);
        if (fields == nullptr) {
            return services;
        }
        const auto &at = *fields;
        services.push_back({ ServiceId(reader.number(at[0])),
                             static_cast<double>(reader.number(at[1])) / demandScale,
                             static_cast<std::uint32_t>(reader.number(at[2], uint32Max)) });
    }
    return services;
}

auto unpackDemand(WireReader &reader, const Json &value) -> DemandReports
{
    DemandReports reports;
    const auto *fields = reader.tuple(value, demandReportFields);
    if (fields == nullptr) {
        return reports;
    }
    reports.part = unpackServices(reader, (*fields)[0]);
    for (const auto &entry : reader.list((*fields)[1], config::demandZonesMax)) {
        const auto *zone = reader.tuple(entry, zoneDemandFields);
        if (zone == nullptr) {
            return reports;
        }
        const std::chrono::milliseconds age(reader.number((*zone)[1], uint32Max));
        reports.zones.push_back(
                { ZoneId(reader.number((*zone)[0])), age, unpackServices(reader, (*zone)[2]) });
    }
    return reports;
}

auto unpackGossip(WireReader &reader, const Json &map) -> Gossip
{
    Gossip gossip;
    if (!map.is_object()) {
        reader.fail("gossip is not a map");
        return gossip;
    }
    gossip.revision = { reader.number(reader.field(map, "r")) };
    gossip.tableDigest = reader.number(reader.field(map, "d"));
    gossip.platformAgeMs =
            static_cast<std::uint32_t>(reader.number(reader.field(map, "a"), uint32Max));
    gossip.placements = reader.number(reader.field(map, "p"));
    gossip.agreed = reader.flag(reader.field(map, "s"));
    gossip.directory = { reader.number(reader.field(map, "y")), unpackEpoch(reader, map, "e") };
    if (map.contains("g")) {
        gossip.directoryAgeMs = static_cast<std::uint32_t>(reader.number(map["g"], uint32Max));
    }
    gossip.clockMs = map.contains("c") ? reader.number(map["c"]) : 0;
    gossip.echoMs = map.contains("b") ? reader.number(map["b"]) : 0;
    gossip.members =
            map.contains("m") ? static_cast<std::uint32_t>(reader.number(map["m"], uint32Max)) : 0;
    gossip.readsFail = map.contains("f") && reader.flag(map["f"]);
    gossip.hasPart = map.contains("h") && reader.flag(map["h"]);
    if (map.contains("k")) {
        constexpr auto lastUse = static_cast<std::uint64_t>(LinkUse::Changes);
        gossip.linkUse = static_cast<LinkUse>(reader.number(map["k"], lastUse));
    }
    if (map.contains("u")) {
        for (const auto &entry : reader.list(map["u"], arraySizeMax)) {
            gossip.updates.push_back(unpackMember(reader, entry));
        }
    }
    if (map.contains("w")) {
        gossip.demand = unpackDemand(reader, map["w"]);
    }
    if (map.contains("l")) {
        for (const auto &entry : reader.list(map["l"], arraySizeMax)) {
            gossip.loads.push_back(unpackLoad(reader, entry));
        }
    }
    return gossip;
}

auto unpack(WireReader &reader, const Json &map, Hello &message) -> void
{
    message.self = unpackMember(reader, reader.field(map, "m"));
    message.gossip = unpackGossip(reader, reader.field(map, "g"));
}

auto unpack(WireReader &reader, const Json &map, Ping &message) -> void
{
    message.sequence = reader.number(reader.field(map, "s"));
    message.gossip = unpackGossip(reader, reader.field(map, "g"));
}

auto unpack(WireReader &reader, const Json &map, Ack &message) -> void
{
    message.sequence = reader.number(reader.field(map, "s"));
    message.gossip = unpackGossip(reader, reader.field(map, "g"));
}

auto unpack(WireReader &reader, const Json &map, PingRequest &message) -> void
{
    message.sequence = reader.number(reader.field(map, "s"));
    message.target = HostId(reader.number(reader.field(map, "h")));
}

auto unpack(WireReader &reader, const Json &map, PingReport &message) -> void
{
    message.sequence = reader.number(reader.field(map, "s"));
    message.target = HostId(reader.number(reader.field(map, "h")));
    message.alive = reader.flag(reader.field(map, "a"));
}

auto unpack(WireReader &reader, const Json &map, TableRequest &message) -> void
{
    message.have = { reader.number(reader.field(map, "r")) };
}

auto unpack(WireReader &reader, const Json &map, TableBody &message) -> void
{
    message.revision = { reader.number(reader.field(map, "r")) };
    message.text = reader.text(reader.field(map, "x"), config::tableBytesMax);
    message.published = unpackTime(reader, reader.field(map, "b"));
    for (const auto &entry : reader.list(reader.field(map, "p"), config::placementTablesMax)) {
        message.placements.push_back(unpackPlacement(reader, entry));
    }
}

auto unpack(WireReader &reader, const Json &map, ClaimRequest &message) -> void
{
    message.round = reader.number(reader.field(map, "n"));
    message.cells = reader.ids<CellId>(reader.field(map, "c"), arraySizeMax);
    message.claim = reader.number(reader.field(map, "i"));
    message.voters = reader.ids<HostId>(reader.field(map, "v"), arraySizeMax);
}

auto unpackKnowledge(WireReader &reader, const Json &value) -> CellKnowledge
{
    constexpr auto lastState = static_cast<std::uint64_t>(KeyState::Unknown);
    CellKnowledge knowledge;
    const auto *fields = reader.tuple(value, knowledgeFields);
    if (fields == nullptr) {
        return knowledge;
    }
    const auto &at = *fields;
    knowledge.cell = CellId(reader.number(at[0]));
    knowledge.knownSinceUs = reader.signedNumber(at[1]);
    knowledge.coveredRevision = { reader.number(at[2]) };
    for (const auto &entry : reader.list(at[3], config::handoverKeysMax)) {
        const auto *key = reader.tuple(entry, handedKeyFields);
        if (key == nullptr) {
            return knowledge;
        }
        knowledge.keys.push_back({ reader.number((*key)[0]),
                                   static_cast<KeyState>(reader.number((*key)[1], lastState)),
                                   reader.signedNumber((*key)[2]) });
    }
    return knowledge;
}

auto unpack(WireReader &reader, const Json &map, ClaimGrant &message) -> void
{
    message.round = reader.number(reader.field(map, "n"));
    message.refused = reader.ids<CellId>(reader.field(map, "f"), arraySizeMax);
    message.granted = reader.ids<CellId>(reader.field(map, "c"), arraySizeMax);
    message.held = reader.ids<CellId>(reader.field(map, "b"), arraySizeMax);
    if (map.contains("k")) {
        for (const auto &entry : reader.list(map["k"], arraySizeMax)) {
            message.knowledge.push_back(unpackKnowledge(reader, entry));
        }
    }
}

auto unpack(WireReader &reader, const Json &map, ClaimRelease &message) -> void
{
    message.claim = reader.number(reader.field(map, "i"));
    message.cells = reader.ids<CellId>(reader.field(map, "c"), arraySizeMax);
}

auto unpack(WireReader &reader, const Json &map, KeyLookup &message) -> void
{
    message.sequence = reader.number(reader.field(map, "s"));
    message.cell = CellId(reader.number(reader.field(map, "c")));
    message.key = reader.text(reader.field(map, "k"), config::keyBytesMax);
}

auto unpack(WireReader &reader, const Json &map, KeyReport &message) -> void
{
    constexpr auto lastState = static_cast<std::uint64_t>(KeyState::Unknown);
    message.sequence = reader.number(reader.field(map, "s"));
    message.state = static_cast<KeyState>(reader.number(reader.field(map, "k"), lastState));
    message.tenureSinceUs = reader.signedNumber(reader.field(map, "b"));
}

auto unpackPosition(WireReader &reader, const Json &value) -> DirectoryPosition
{
    constexpr std::size_t positionFields = 2;
    DirectoryPosition position;
    if (const auto *fields = reader.tuple(value, positionFields)) {
        position.isPastZone = reader.flag((*fields)[0]);
        position.after = InstanceId(reader.number((*fields)[1]));
    }
    return position;
}

auto unpack(WireReader &reader, const Json &map, DirectoryRequest &message) -> void
{
    message.have = { reader.number(reader.field(map, "r")), unpackEpoch(reader, map, "e") };
    if (map.contains("p")) { // Absent in requests from hosts of older versions.
        message.position = unpackPosition(reader, map["p"]);
    }
}

auto unpack(WireReader &reader, const Json &map, DirectoryUpdate &message) -> void
{
    message = unpackUpdate(reader, map);
}

auto unpack(WireReader &reader, const Json &map, DirectoryPage &message) -> void
{
    message.update = unpackUpdate(reader, reader.field(map, "d"));
    message.position = unpackPosition(reader, reader.field(map, "p"));
    if (map.contains("n")) {
        message.next = unpackPosition(reader, map["n"]);
    }
    message.isPart = map.contains("h") && reader.flag(map["h"]);
}

/// Decodes the message whose index in the variant `Message` is `type`.
template<std::size_t Index = 0>
auto unpackType(WireReader &reader, const Json &map, std::uint64_t type) -> Message
{
    if constexpr (Index < std::variant_size_v<Message>) {
        if (type != Index) {
            return unpackType<Index + 1>(reader, map, type);
        }
        std::variant_alternative_t<Index, Message> message;
        unpack(reader, map, message);
        return message;
    } else {
        reader.fail("unknown message type");
        return {};
    }
}

} // namespace

auto decode(const std::vector<std::uint8_t> &bytes) -> tl::expected<Message, std::string>
{
    if (bytes.size() > config::peerMessageMax) {
        return tl::unexpected(std::string("message too large"));
    }
    if (!isSafeCbor(bytes, depthMax)) {
        return tl::unexpected(std::string("not one well-formed CBOR value, or nested too deeply"));
    }
    try {
        const auto map = Json::from_cbor(bytes, true, false);
        if (!map.is_object()) {
            return tl::unexpected(std::string("message is not a map"));
        }
        WireReader reader;
        const auto type = reader.number(reader.field(map, "t"));
        auto message = unpackType(reader, map, type);
        if (!reader.fault().empty()) {
            return tl::unexpected(reader.fault());
        }
        return message;
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace flamingograde
