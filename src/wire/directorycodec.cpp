/// Wire format of directory updates.
///
/// Keys are one letter; records, removals and rows are arrays with a fixed order of fields. Only
/// the IDs of instances are sent; the other IDs are derived from the names. All revisions of an
/// update are of one epoch, which is sent once. An entry that cannot be decoded costs only itself.
#include "wire/directorycodec.h"

#include "wire/wirereader.h"

#include <flamingograde/config.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace flamingograde {

namespace {

using Json = nlohmann::json;

constexpr std::size_t recordsMax =
        1000000;                         ///< Most records, or removals, or faults, or evacuations.
constexpr std::size_t rowsMax = 1000000; ///< Most rows, or cold limits, in an update.
constexpr std::size_t sharesMax = 1000000;   ///< Most services that share a row.
constexpr std::size_t versionBytesMax = 200; ///< Longest software version of an upstream.
constexpr std::size_t recordFields = 12;     ///< Fields of a record.
constexpr std::size_t evacuationFields = 3;  ///< Fields of an evacuation order.
constexpr std::size_t removalFields = 2;     ///< Fields of a removal or a fault.
constexpr std::size_t rowFields = 9;         ///< Fields of a row.
constexpr std::size_t coldLimitFields = 3;   ///< Fields of a cold limit.
constexpr double rateScale = 1000;           ///< Rates are encoded in thousandths.
constexpr std::size_t shareFields = 2;       ///< Fields of a service's share of a row.
constexpr std::uint64_t startTimeMaxMs = 32503680000000; ///< The year 3000 in Unix milliseconds.
constexpr std::uint64_t uint32Max = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t uint16Max = std::numeric_limits<std::uint16_t>::max();

/// Reads a name that operators or upstreams chose, which may have any length.
auto unpackName(WireReader &reader, const Json &value) -> std::string
{
    auto name = reader.text(value, config::peerMessageMax);
    if (name.empty()) {
        reader.fail("a name is empty");
    }
    return name;
}

/// Decodes the entries of an array. One that cannot be decoded is left out and reported.
template<typename Unpack>
auto unpackEach(const Json &list, const char *kind, std::vector<std::string> &unreadable,
                Unpack unpack) -> std::vector<decltype(unpack(std::declval<WireReader &>(), list))>
{
    std::vector<decltype(unpack(std::declval<WireReader &>(), list))> entries;
    for (const auto &value : list) {
        WireReader reader;
        auto entry = unpack(reader, value);
        if (reader.fault().empty()) {
            entries.push_back(std::move(entry));
        } else {
            unreadable.push_back(std::string(kind) + ": " + reader.fault());
        }
    }
    return entries;
}

auto milliseconds(Duration duration) -> std::uint64_t
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

auto unpackDuration(WireReader &reader, const Json &value) -> Duration
{
    return std::chrono::milliseconds(reader.number(value, uint32Max));
}

auto packRecord(const DirectoryRecord &record) -> Json
{
    const auto &upstream = record.upstream;
    return Json::array({ upstream.instance.value(), upstream.name, upstream.serviceName,
                         upstream.zoneName, upstream.address.ip, upstream.address.port,
                         upstream.slots, static_cast<std::uint8_t>(upstream.state),
                         milliseconds(upstream.warmup), upstream.version, record.changed.number,
                         record.created.number });
}

auto unpackRecord(WireReader &reader, const Json &value, std::uint32_t epoch) -> DirectoryRecord
{
    DirectoryRecord record;
    const auto *fields = reader.tuple(value, recordFields);
    if (fields == nullptr) {
        return record;
    }
    constexpr auto lastState = static_cast<std::uint64_t>(UpstreamState::Draining);
    const auto &at = *fields;
    auto &upstream = record.upstream;
    upstream.instance = InstanceId(reader.number(at[0]));
    upstream.name = unpackName(reader, at[1]);
    upstream.id = UpstreamId::ofName(upstream.name);
    upstream.serviceName = unpackName(reader, at[2]);
    upstream.service = ServiceId::ofName(upstream.serviceName);
    upstream.zoneName = unpackName(reader, at[3]);
    upstream.zone = ZoneId::ofName(upstream.zoneName);
    upstream.address = { static_cast<std::uint32_t>(reader.number(at[4], uint32Max)),
                         static_cast<std::uint16_t>(reader.number(at[5], uint16Max)) };
    upstream.slots = static_cast<std::uint32_t>(reader.number(at[6], uint32Max));
    upstream.state = static_cast<UpstreamState>(reader.number(at[7], lastState));
    upstream.warmup = unpackDuration(reader, at[8]);
    upstream.version = reader.text(at[9], versionBytesMax);
    record.changed = { reader.number(at[10]), epoch };
    record.created = { reader.number(at[11]), epoch };
    if (!upstream.instance.isValid() || upstream.slots == 0) {
        reader.fail("an upstream has no instance ID or no slots");
    }
    return record;
}

auto packRow(const PacketRow &row) -> Json
{
    auto shares = Json::array();
    for (const auto &share : row.shares) {
        shares.push_back(Json::array({ share.serviceName, share.weight }));
    }
    return Json::array({ row.name, row.address.ip, row.address.port, std::move(shares),
                         static_cast<std::uint8_t>(row.kind), row.idempotent, row.urgency,
                         milliseconds(row.deadline), milliseconds(row.target) });
}

auto unpackShare(WireReader &reader, const Json &value) -> ServiceShare
{
    ServiceShare share;
    const auto *fields = reader.tuple(value, shareFields);
    if (fields == nullptr) {
        return share;
    }
    share.serviceName = unpackName(reader, (*fields)[0]);
    share.service = ServiceId::ofName(share.serviceName);
    share.weight = static_cast<std::uint32_t>(reader.number((*fields)[1], uint32Max));
    return share;
}

auto unpackRow(WireReader &reader, const Json &value) -> PacketRow
{
    PacketRow row;
    const auto *fields = reader.tuple(value, rowFields);
    if (fields == nullptr) {
        return row;
    }
    constexpr auto lastKind = static_cast<std::uint64_t>(RequestKind::Upload);
    const auto &at = *fields;
    row.name = unpackName(reader, at[0]);
    row.id = RowId::ofName(row.name);
    row.address = { static_cast<std::uint32_t>(reader.number(at[1], uint32Max)),
                    static_cast<std::uint16_t>(reader.number(at[2], uint16Max)) };
    for (const auto &share : reader.list(at[3], sharesMax)) {
        row.shares.push_back(unpackShare(reader, share));
    }
    row.kind = static_cast<RequestKind>(reader.number(at[4], lastKind));
    row.idempotent = reader.flag(at[5]);
    row.urgency = static_cast<std::uint32_t>(reader.number(at[6], uint32Max));
    row.deadline = unpackDuration(reader, at[7]);
    row.target = unpackDuration(reader, at[8]);
    return row;
}

auto packColdLimits(const PacketRows &rows) -> Json
{
    auto list = Json::array();
    for (const auto &limit : rows.coldLimits) {
        const auto rate = std::llround(limit.requestsPerSecond * rateScale);
        list.push_back(Json::array({ limit.serviceName, milliseconds(limit.coldTime),
                                     static_cast<std::uint64_t>(rate) }));
    }
    return list;
}

auto unpackColdLimit(WireReader &reader, const Json &value) -> ColdLimit
{
    ColdLimit limit;
    const auto *fields = reader.tuple(value, coldLimitFields);
    if (fields == nullptr) {
        return limit;
    }
    limit.serviceName = unpackName(reader, (*fields)[0]);
    limit.service = ServiceId::ofName(limit.serviceName);
    limit.coldTime = unpackDuration(reader, (*fields)[1]);
    limit.requestsPerSecond =
            static_cast<double>(reader.number((*fields)[2], uint32Max)) / rateScale;
    return limit;
}

auto packRows(const PacketRows &rows) -> Json
{
    auto list = Json::array();
    for (const auto &row : rows.rows) {
        list.push_back(packRow(row));
    }
    return { { "v", rows.version },
             { "c", rows.changed.number },
             { "i", milliseconds(rows.flowIdle) },
             { "l", std::move(list) },
             { "k", packColdLimits(rows) } };
}

auto unpackRows(WireReader &reader, const Json &map, std::uint32_t epoch,
                std::vector<std::string> &unreadable) -> std::shared_ptr<const PacketRows>
{
    auto rows = std::make_shared<PacketRows>();
    rows->version = reader.number(reader.field(map, "v"));
    rows->changed = { reader.number(reader.field(map, "c")), epoch };
    rows->flowIdle = unpackDuration(reader, reader.field(map, "i"));
    const auto &list = reader.list(reader.field(map, "l"), rowsMax);
    rows->rows = unpackEach(list, "row", unreadable, &unpackRow);
    if (map.contains("k")) { // Absent in updates from hosts of older versions.
        rows->coldLimits = unpackEach(reader.list(map["k"], rowsMax), "cold limit", unreadable,
                                      &unpackColdLimit);
    }
    return rows;
}

/// Decodes a removal or a fault: the instance and the revision of that change.
auto unpackInstance(WireReader &reader, const Json &value, std::uint32_t epoch)
        -> std::pair<InstanceId, Revision>
{
    const auto *fields = reader.tuple(value, removalFields);
    if (fields == nullptr) {
        return {};
    }
    return { InstanceId(reader.number((*fields)[0])), { reader.number((*fields)[1]), epoch } };
}

/// Encodes the start times of the upstreams in `present`, in the same order. They are a separate
/// array so that hosts of older versions, which do not know it, can still decode the records.
auto packStartTimes(const DirectoryUpdate &update) -> Json
{
    auto startTimes = Json::array();
    for (const auto &record : update.present) {
        const auto born = record.upstream.startedAt.time_since_epoch();
        startTimes.push_back(milliseconds(born));
    }
    return startTimes;
}

auto unpackStartTime(WireReader &reader, const Json &value) -> WallTime
{
    return WallTime(std::chrono::milliseconds(reader.number(value, startTimeMaxMs)));
}

/// Adds an upstream that cannot be decoded to the faulty ones, so that it is not taken for removed.
auto addUnreadable(const Json &value, std::uint32_t epoch, DirectoryUpdate &update) -> void
{
    WireReader reader;
    if (const auto *fields = reader.tuple(value, recordFields)) {
        const InstanceId instance(reader.number((*fields)[0]));
        const Revision changed { reader.number((*fields)[10]), epoch };
        if (reader.fault().empty() && instance.isValid()) {
            update.faulty.push_back({ instance, changed });
        }
    }
}

/// Decodes the upstreams of an update. One that cannot be decoded is reported and left out.
auto unpackRecords(WireReader &reader, const Json &map, std::uint32_t epoch,
                   DirectoryUpdate &update) -> void
{
    const auto &list = reader.list(reader.field(map, "p"), recordsMax);
    // Absent in updates from hosts of older versions.
    const auto *startTimes = map.contains("b") ? reader.tuple(map["b"], list.size()) : nullptr;
    for (std::size_t i = 0; i < list.size(); ++i) {
        WireReader recordReader;
        auto record = unpackRecord(recordReader, list[i], epoch);
        if (startTimes != nullptr) {
            record.upstream.startedAt = unpackStartTime(recordReader, (*startTimes)[i]);
        }
        if (recordReader.fault().empty()) {
            update.present.push_back(std::move(record));
            continue;
        }
        update.unreadable.push_back("upstream: " + recordReader.fault());
        addUnreadable(list[i], epoch, update);
    }
}

auto packEvacuations(const DirectoryUpdate &update) -> Json
{
    auto list = Json::array();
    for (const auto &order : update.evacuations) {
        list.push_back(Json::array({ order.zoneName, order.at.number, order.inForce }));
    }
    return list;
}

auto unpackEvacuation(WireReader &reader, const Json &value, std::uint32_t epoch) -> ZoneEvacuation
{
    ZoneEvacuation order;
    const auto *fields = reader.tuple(value, evacuationFields);
    if (fields == nullptr) {
        return order;
    }
    order.zoneName = unpackName(reader, (*fields)[0]);
    order.zone = ZoneId::ofName(order.zoneName);
    order.at = { reader.number((*fields)[1]), epoch };
    order.inForce = reader.flag((*fields)[2]);
    return order;
}

} // namespace

auto unpackEpoch(WireReader &reader, const Json &map, const char *key) -> std::uint32_t
{
    // Absent in epoch 0, and in messages from hosts of older versions.
    return map.contains(key) ? static_cast<std::uint32_t>(reader.number(map[key], uint32Max)) : 0;
}

auto packUpdate(const DirectoryUpdate &update) -> Json
{
    auto present = Json::array();
    for (const auto &record : update.present) {
        present.push_back(packRecord(record));
    }
    auto removed = Json::array();
    for (const auto &removal : update.removed) {
        removed.push_back(Json::array({ removal.instance.value(), removal.at.number }));
    }
    auto faulty = Json::array();
    for (const auto &fault : update.faulty) {
        faulty.push_back(Json::array({ fault.instance.value(), fault.at.number }));
    }
    Json map { { "a", update.after.number },
               { "u", update.upTo.number },
               { "p", std::move(present) },
               { "x", std::move(removed) },
               { "b", packStartTimes(update) },
               { "f", std::move(faulty) },
               { "s", milliseconds(update.removalsDeferredFor) } };
    if (update.upTo.epoch != 0) {
        map["n"] = update.upTo.epoch;
    }
    if (!update.evacuations.empty()) {
        map["e"] = packEvacuations(update);
    }
    if (update.rows != nullptr) {
        map["r"] = packRows(*update.rows);
    }
    return map;
}

auto unpackUpdate(WireReader &reader, const Json &map) -> DirectoryUpdate
{
    DirectoryUpdate update;
    const auto epoch = unpackEpoch(reader, map, "n");
    const Revision after { reader.number(reader.field(map, "a")), epoch };
    update.after = after.isValid() ? after : Revision();
    update.upTo = { reader.number(reader.field(map, "u")), epoch };
    unpackRecords(reader, map, epoch, update);
    for (const auto &removal : reader.list(reader.field(map, "x"), recordsMax)) {
        const auto [instance, at] = unpackInstance(reader, removal, epoch);
        update.removed.push_back({ instance, at });
    }
    if (map.contains("f")) {
        for (const auto &fault : reader.list(map["f"], recordsMax)) {
            const auto [instance, at] = unpackInstance(reader, fault, epoch);
            update.faulty.push_back({ instance, at });
        }
    }
    if (map.contains("e")) {
        update.evacuations =
                unpackEach(reader.list(map["e"], recordsMax), "evacuation", update.unreadable,
                           [epoch](WireReader &orderReader, const Json &order) {
                               return unpackEvacuation(orderReader, order, epoch);
                           });
    }
    update.removalsDeferredFor = unpackDuration(reader, reader.field(map, "s"));
    if (map.contains("r")) {
        update.rows = unpackRows(reader, map["r"], epoch, update.unreadable);
    }
    return update;
}

} // namespace flamingograde
