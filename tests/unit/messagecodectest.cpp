/// Encoding of messages between hosts: round trips, encoded sizes, and rejection of invalid input.
#include "packetboard.h"

#include "wire/messagecodec.h"

#include <flamingograde/config.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <random>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t mutationSeed = 20240607;
constexpr int mutations = 10000;

auto sampleMember(const std::string &name, MemberState state) -> Member
{
    Member member;
    member.name = name;
    member.id = HostId::ofName(name);
    member.zoneName = "auckland-1";
    member.zone = ZoneId::ofName(member.zoneName);
    member.peer = { 0x0a010001, 7001 };
    member.relay = { 0x0a010001, 7002 };
    member.incarnation = 1764700000000;
    member.state = state;
    member.linkMbps = 200;
    return member;
}

auto sampleGossip() -> Gossip
{
    Gossip gossip;
    gossip.updates = { sampleMember("auckland-1-a", MemberState::Alive),
                       sampleMember("auckland-1-b", MemberState::Dead) };
    gossip.loads = { { CellId(7), 8, 3, 0 }, { CellId(~0ULL), 1, 2, 4000000000U } };
    gossip.revision = { 12 };
    gossip.tableDigest = ~0ULL;
    gossip.platformAgeMs = 1500;
    gossip.placements = ~0ULL - 1;
    gossip.agreed = true;
    gossip.directory = { 77 };
    gossip.directoryAgeMs = 300;
    gossip.clockMs = 123456789;
    gossip.echoMs = 987654321;
    gossip.members = ~0U;
    gossip.readsFail = true;
    gossip.hasPart = true;
    gossip.linkUse = LinkUse::Changes;
    return gossip;
}

auto sampleBody(const std::string &text) -> TableBody
{
    const ZoneSlots zone { ServiceId(~0ULL), ZoneId(4), 28 };
    const WallTime published(std::chrono::seconds(1764700000));
    return { Revision { 12 },
             text,
             published,
             { { Revision { 11 }, published, { zone, zone }, published + std::chrono::seconds(2) },
               { Revision { 12 }, published, {}, {} } } };
}

/// Returns a grant that hands over `keys` keys of one cell.
auto sampleGrant(std::size_t keys) -> ClaimGrant
{
    constexpr std::int64_t time = 1'764'700'000'000'000;
    std::mt19937_64 random(1);
    CellKnowledge knowledge { CellId(random()), time, { 12 }, {} };
    for (std::size_t i = 0; i < keys; ++i) {
        knowledge.keys.push_back({ random(), KeyState::Done, time + static_cast<int>(i) });
    }
    return { 5, { CellId(1) }, { CellId(2), knowledge.cell }, { knowledge.cell }, { knowledge } };
}

/// Returns an update with an entry in each of its fields.
auto sampleUpdate() -> DirectoryUpdate
{
    DirectoryUpdate update;
    update.after = { 40 };
    update.upTo = { 45 };
    update.present = { record(0x3aaee8c3fa, "live", "auckland-1", 41),
                       record(~0ULL, "papers", "auckland-2", 42) };
    update.present[0].upstream.state = UpstreamState::Draining;
    update.present[0].upstream.warmup = std::chrono::milliseconds(1500);
    update.present[0].upstream.version = "v2";
    update.present[1].upstream.startedAt = WallTime(std::chrono::milliseconds(1764700000123));
    update.removed = { { InstanceId(9), { 43 } } };
    update.faulty = { { InstanceId(~0ULL), { 45 } } };
    update.removalsDeferredFor = std::chrono::milliseconds(2200);
    update.evacuations = {
        { ZoneId::ofName("auckland-2"), "auckland-2", { 44 }, true },
        { ZoneId::ofName("auckland-1"), "auckland-1", { 45 }, false },
    };
    auto row = packetRow("feed", feedAddress, "live");
    row.shares.push_back({ ServiceId::ofName("papers"), "papers", 10 });
    row.idempotent = false;
    row.urgency = 7;
    auto rows = std::make_shared<PacketRows>(*packetRows(44, { row }));
    rows->coldLimits = { { ServiceId::ofName("live"), "live", std::chrono::seconds(6), 0.125 } };
    update.rows = rows;
    return update;
}

auto samples() -> std::vector<Message>
{
    return { Hello { sampleMember("auckland-1-a", MemberState::Leaving), sampleGossip() },
             Ping { 1, sampleGossip() },
             Ping { 1, Gossip {} },
             Ack { ~0ULL, sampleGossip() },
             PingRequest { 3, HostId(4) },
             PingReport { 3, HostId(4), true },
             TableRequest { Revision { 11 } },
             sampleBody(std::string("a\0b\n", 4)),
             ClaimRequest { 5, { CellId(1), CellId(2) }, 6, { HostId(3) } },
             ClaimRequest {},
             ClaimGrant { 5, { CellId(1) }, { CellId(2), CellId(3) }, { CellId(2) } },
             sampleGrant(3),
             ClaimRelease { 6, { CellId(1), CellId(2) } },
             KeyLookup { 8, CellId(9), "018f-key" },
             KeyReport { 8, KeyState::Done, -1 },
             DirectoryRequest { Revision { 7 } },
             DirectoryRequest { Revision {}, DirectoryPosition { true, InstanceId(~0ULL) } },
             DirectoryPage { sampleUpdate(), {}, DirectoryPosition { false, InstanceId(5) } },
             DirectoryPage { sampleUpdate(), { true, InstanceId(5) }, std::nullopt },
             DirectoryPage { sampleUpdate(), {}, std::nullopt, true },
             DirectoryUpdate {},
             sampleUpdate() };
}

} // namespace

TEST_CASE("every message is the same after encoding, decoding and encoding again", "[codec]")
{
    for (const auto &message : samples()) {
        const auto bytes = encode(message);
        const auto decoded = decode(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(encode(*decoded) == bytes);
    }
}

TEST_CASE("fields of a hello, a claim grant and a key report are decoded as encoded", "[codec]")
{
    const auto hello = decode(encode(samples().front()));
    REQUIRE(hello);
    const auto &self = std::get<Hello>(*hello).self;
    CHECK(self.id == HostId::ofName("auckland-1-a"));
    CHECK(self.zone == ZoneId::ofName("auckland-1"));
    CHECK(self.relay == Address { 0x0a010001, 7002 });
    CHECK(self.state == MemberState::Leaving);
    CHECK(self.linkMbps == 200);
    const auto &gossip = std::get<Hello>(*hello).gossip;
    CHECK(gossip.updates.size() == 2);
    CHECK(gossip.loads.back().queued == 4000000000U);
    CHECK(gossip.platformAgeMs == 1500);
    CHECK(gossip.placements == ~0ULL - 1);
    CHECK(gossip.agreed);
    CHECK(gossip.directory.number == 77);
    CHECK(gossip.directoryAgeMs == 300U);
    CHECK(gossip.clockMs == 123456789);
    CHECK(gossip.echoMs == 987654321);
    CHECK(gossip.members == ~0U);
    CHECK(gossip.readsFail);
    CHECK(gossip.hasPart);
    CHECK(gossip.linkUse == LinkUse::Changes);

    const auto grant = decode(
            encode(ClaimGrant { 5, { CellId(1) }, { CellId(2), CellId(3) }, { CellId(2) } }));
    REQUIRE(grant);
    CHECK(std::get<ClaimGrant>(*grant).granted == std::vector<CellId> { CellId(2), CellId(3) });
    CHECK(std::get<ClaimGrant>(*grant).held == std::vector<CellId> { CellId(2) });

    const auto report = decode(encode(KeyReport { 8, KeyState::Done, -1 }));
    REQUIRE(report);
    CHECK(std::get<KeyReport>(*report).tenureSinceUs == -1);
}

TEST_CASE("positions of a directory request and a directory page are decoded as encoded", "[codec]")
{
    const DirectoryPosition position { true, InstanceId(~0ULL) };
    const auto request = decode(encode(DirectoryRequest { Revision { 7 }, position }));
    REQUIRE(request);
    CHECK(std::get<DirectoryRequest>(*request).position == position);
    const auto plain = decode(encode(DirectoryRequest { Revision { 7 } }));
    REQUIRE(plain);
    CHECK_FALSE(std::get<DirectoryRequest>(*plain).position);

    const auto page = decode(encode(DirectoryPage { sampleUpdate(), {}, position }));
    REQUIRE(page);
    CHECK(std::get<DirectoryPage>(*page).position == DirectoryPosition());
    CHECK(std::get<DirectoryPage>(*page).next == position);
    CHECK_FALSE(std::get<DirectoryPage>(*page).isPart);
    CHECK(std::get<DirectoryPage>(*page).update.present.size() == sampleUpdate().present.size());
    const auto part = decode(encode(DirectoryPage { sampleUpdate(), {}, std::nullopt, true }));
    REQUIRE(part);
    CHECK(std::get<DirectoryPage>(*part).isPart);
}

TEST_CASE("the flag for failing reads is false when absent", "[codec]")
{
    auto gossip = sampleGossip();
    gossip.readsFail = false;
    const auto decoded = decode(encode(Ping { 1, gossip }));
    REQUIRE(decoded);
    CHECK_FALSE(std::get<Ping>(*decoded).gossip.readsFail);
}

TEST_CASE("demand reports are decoded as encoded, are small, and may be absent", "[codec][demand]")
{
    const ServiceDemand live { ServiceId(~0ULL), 1234.5, 77 };
    Ping ping;
    const auto bare = encode(Message(ping)).size();
    ping.gossip.demand = { { live }, { { ZoneId(~0ULL), 1500ms, { live, live } } } };
    const auto bytes = encode(Message(ping));
    CHECK(bytes.size() <= bare + 100);
    const auto decoded = decode(bytes);
    REQUIRE(decoded);
    const auto &demand = std::get<Ping>(*decoded).gossip.demand;
    REQUIRE(demand.part.size() == 1);
    CHECK(demand.part[0].service == live.service);
    CHECK(demand.part[0].requestsPerSecond == live.requestsPerSecond);
    CHECK(demand.part[0].underWay == live.underWay);
    REQUIRE(demand.zones.size() == 1);
    CHECK(demand.zones[0].age == 1500ms);
    CHECK(demand.zones[0].services.size() == 2);
    ping.gossip.demand.part.assign(config::demandServicesMax + 1, live);
    CHECK_FALSE(decode(encode(Message(ping))));
}

TEST_CASE("a directory update is decoded as encoded", "[codec]")
{
    const auto sent = sampleUpdate();
    const auto decoded = decode(encode(sent));
    REQUIRE(decoded);
    const auto &update = std::get<DirectoryUpdate>(*decoded);
    CHECK(update.after == sent.after);
    CHECK(update.upTo == sent.upTo);
    CHECK(update.removalsDeferredFor == sent.removalsDeferredFor);
    REQUIRE(update.present.size() == 2);
    const auto &upstream = update.present[0].upstream;
    CHECK(upstream.instance == InstanceId(0x3aaee8c3fa));
    CHECK(upstream.id == sent.present[0].upstream.id);
    CHECK(upstream.service == ServiceId::ofName("live"));
    CHECK(upstream.zone == ZoneId::ofName("auckland-1"));
    CHECK(upstream.address == sent.present[0].upstream.address);
    CHECK(upstream.state == UpstreamState::Draining);
    CHECK(upstream.warmup == sent.present[0].upstream.warmup);
    CHECK(upstream.version == "v2");
    CHECK(update.present[1].created.number == 42);
    CHECK(upstream.startedAt == WallTime());
    CHECK(update.present[1].upstream.startedAt == sent.present[1].upstream.startedAt);
    REQUIRE(update.faulty.size() == 1);
    CHECK(update.faulty[0].instance == InstanceId(~0ULL));
    CHECK(update.faulty[0].at == Revision { 45 });
    REQUIRE(update.removed.size() == 1);
    CHECK(update.removed[0].at.number == 43);
    REQUIRE(update.rows != nullptr);
    CHECK(update.rows->changed.number == 44);
    const auto &row = update.rows->rows.at(0);
    CHECK(row.address == feedAddress);
    CHECK(row.shares.at(1).weight == 10);
    CHECK_FALSE(row.idempotent);
    CHECK(row.urgency == 7);
}

TEST_CASE("revisions are decoded with their epoch", "[codec][restore]")
{
    constexpr std::uint32_t epoch = 3;
    auto sent = sampleUpdate();
    sent.after.epoch = epoch;
    sent.upTo.epoch = epoch;
    const auto decoded = decode(encode(sent));
    REQUIRE(decoded);
    const auto &update = std::get<DirectoryUpdate>(*decoded);
    CHECK(update.after == Revision { 40, epoch });
    CHECK(update.upTo == Revision { 45, epoch });
    CHECK(update.present.at(0).changed == Revision { 41, epoch });
    CHECK(update.present.at(0).created == Revision { 41, epoch });
    CHECK(update.removed.at(0).at == Revision { 43, epoch });
    CHECK(update.faulty.at(0).at == Revision { 45, epoch });
    CHECK(update.evacuations.at(0).at == Revision { 44, epoch });
    CHECK(update.rows->changed == Revision { 44, epoch });

    Ping ping;
    ping.gossip.directory = { 7, epoch };
    const auto decodedPing = decode(encode(ping));
    REQUIRE(decodedPing);
    CHECK(std::get<Ping>(*decodedPing).gossip.directory == Revision { 7, epoch });
    const auto request = decode(encode(DirectoryRequest { { 7, epoch }, std::nullopt }));
    REQUIRE(request);
    CHECK(std::get<DirectoryRequest>(*request).have == Revision { 7, epoch });
}

TEST_CASE("a whole update has no revision before it in any epoch", "[codec][restore]")
{
    auto sent = sampleUpdate();
    sent.after = Revision();
    sent.upTo.epoch = 3;
    const auto decoded = decode(encode(sent));
    REQUIRE(decoded);
    CHECK(std::get<DirectoryUpdate>(*decoded).after == Revision());
}

TEST_CASE("keys handed over by a claim grant, and a claim release, are decoded as encoded",
          "[codec]")
{
    const auto sent = sampleGrant(3);
    const auto decoded = decode(encode(sent));
    REQUIRE(decoded);
    const auto &grant = std::get<ClaimGrant>(*decoded);
    REQUIRE(grant.knowledge.size() == 1);
    const auto &knowledge = grant.knowledge.front();
    CHECK(knowledge.cell == sent.knowledge.front().cell);
    CHECK(knowledge.knownSinceUs == sent.knowledge.front().knownSinceUs);
    CHECK(knowledge.coveredRevision.number == 12);
    REQUIRE(knowledge.keys.size() == 3);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(knowledge.keys[i].hash == sent.knowledge.front().keys[i].hash);
        CHECK(knowledge.keys[i].state == KeyState::Done);
        CHECK(knowledge.keys[i].dispatchedUs == sent.knowledge.front().keys[i].dispatchedUs);
    }
    const auto release = decode(encode(ClaimRelease { 6, { CellId(1), CellId(2) } }));
    REQUIRE(release);
    CHECK(std::get<ClaimRelease>(*release).claim == 6);
    CHECK(std::get<ClaimRelease>(*release).cells.size() == 2);
}

TEST_CASE("a claim grant has a bounded size, and one with too many keys or a bad state is rejected",
          "[codec]")
{
    const auto sizeOf100Keys = encode(sampleGrant(100)).size();
    const auto sizeOfMostKeys = encode(sampleGrant(config::handoverKeysMax)).size();
    INFO("100 keys: " << sizeOf100Keys << " bytes; " << config::handoverKeysMax
                      << " keys: " << sizeOfMostKeys);
    CHECK(sizeOf100Keys <= 2200);
    CHECK(sizeOfMostKeys <= config::peerMessageMax / 8);
    CHECK_FALSE(decode(encode(sampleGrant(config::handoverKeysMax + 1))));
    auto invalidState = sampleGrant(1);
    invalidState.knowledge.front().keys.front().state = static_cast<KeyState>(9);
    CHECK_FALSE(decode(encode(invalidState)));
}

TEST_CASE("an encoded ping stays within 40 bytes without gossip and 220 bytes with it", "[codec]")
{
    CHECK(encode(Ping { 1000, Gossip {} }).size() <= 40);
    CHECK(encode(Ping { 1000, sampleGossip() }).size() <= 220);
}

TEST_CASE("mutated messages are rejected, or decoded into messages that can be encoded and decoded",
          "[codec]")
{
    std::mt19937_64 random(mutationSeed);
    const auto originals = samples();
    int refused = 0;
    for (int i = 0; i < mutations; ++i) {
        auto bytes = encode(originals[random() % originals.size()]);
        const auto edits = 1 + random() % 4;
        for (std::uint64_t edit = 0; edit < edits && !bytes.empty(); ++edit) {
            const auto at = random() % bytes.size();
            switch (random() % 4) {
            case 0:
                bytes[at] = static_cast<std::uint8_t>(random());
                break;
            case 1:
                bytes.resize(at);
                break;
            case 2:
                bytes.insert(bytes.begin() + static_cast<std::ptrdiff_t>(at),
                             static_cast<std::uint8_t>(random()));
                break;
            default:
                bytes.erase(bytes.begin() + static_cast<std::ptrdiff_t>(at));
            }
        }
        const auto decoded = decode(bytes);
        if (!decoded) {
            ++refused;
            CHECK_FALSE(decoded.error().empty());
        } else {
            CHECK(decode(encode(*decoded)));
        }
    }
    CHECK(refused > mutations / 2);
}

TEST_CASE("malformed and oversized messages are rejected", "[codec]")
{
    const std::vector<std::uint8_t> nested(1U << 20U, 0x81);
    CHECK_FALSE(decode(nested));
    CHECK_FALSE(decode({}));
    CHECK_FALSE(decode({ 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff }));
    CHECK_FALSE(decode({ 0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff }));
    CHECK_FALSE(decode({ 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff }));
    CHECK_FALSE(decode({ 0xa1, 0x61, 't', 0x18, 200 }));
    CHECK_FALSE(decode(std::vector<std::uint8_t>(config::peerMessageMax + 1, 0)));
    auto trailing = encode(TableRequest { Revision { 1 } });
    trailing.push_back(0);
    CHECK_FALSE(decode(trailing));
    auto withoutName = sampleMember("x", MemberState::Alive);
    withoutName.name.clear();
    CHECK_FALSE(decode(encode(Hello { withoutName, {} })));
    CHECK_FALSE(
            decode(encode(KeyLookup { 1, CellId(1), std::string(config::keyBytesMax + 1, 'k') })));
    CHECK_FALSE(decode(
            encode(TableBody { Revision { 1 }, std::string(config::tableBytesMax + 1, 'x') })));
}

// Guards against an update that other hosts refuse, and close the connection for, because of one of
// its entries.
TEST_CASE("an entry of a directory update that cannot be decoded costs only itself", "[codec]")
{
    const auto tampered = [](const std::function<void(nlohmann::json &)> &tamper) {
        auto map = nlohmann::json::from_cbor(encode(sampleUpdate()));
        tamper(map);
        const auto decoded = decode(nlohmann::json::to_cbor(map));
        REQUIRE(decoded);
        const auto update = std::get<DirectoryUpdate>(*decoded);
        CHECK(update.unreadable.size() == 1);
        CHECK(update.upTo == sampleUpdate().upTo);
        return update;
    };
    const auto all = sampleUpdate();
    const auto withoutUpstream =
            tampered([](nlohmann::json &map) { map["p"][0][6] = "no number"; });
    REQUIRE(withoutUpstream.present.size() == all.present.size() - 1);
    CHECK(withoutUpstream.present[0].upstream.name == all.present[1].upstream.name);
    CHECK(withoutUpstream.present[0].upstream.startedAt == all.present[1].upstream.startedAt);
    // It is not taken for removed: its open flows go on.
    REQUIRE(withoutUpstream.faulty.size() == all.faulty.size() + 1);
    CHECK(withoutUpstream.faulty[0].instance == all.present[0].upstream.instance);
    const auto withoutInstance = tampered([](nlohmann::json &map) { map["p"][0][0] = 0; });
    CHECK(withoutInstance.present.size() == all.present.size() - 1);
    CHECK(withoutInstance.faulty.size() == all.faulty.size());
    const auto withoutRow = tampered([](nlohmann::json &map) { map["r"]["l"][0][7] = -1; });
    CHECK(withoutRow.present.size() == all.present.size());
    CHECK(withoutRow.rows->rows.size() == all.rows->rows.size() - 1);
    CHECK(withoutRow.rows->version == all.rows->version);
    const auto withoutLimit = tampered([](nlohmann::json &map) { map["r"]["k"][0][0] = ""; });
    CHECK(withoutLimit.rows->coldLimits.empty());
    const auto withoutOrder = tampered([](nlohmann::json &map) { map["e"][0][2] = 5; });
    CHECK(withoutOrder.evacuations.size() == all.evacuations.size() - 1);
}

TEST_CASE("evacuations are decoded with their zone, revision and state", "[codec]")
{
    const auto decoded = decode(encode(sampleUpdate()));
    REQUIRE(decoded);
    const auto &orders = std::get<DirectoryUpdate>(*decoded).evacuations;
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].zone == ZoneId::ofName("auckland-2"));
    CHECK(orders[0].at == Revision { 44 });
    CHECK(orders[0].inForce);
    CHECK(orders[1].zoneName == "auckland-1");
    CHECK_FALSE(orders[1].inForce);
}

TEST_CASE("cold limits are decoded as encoded, and may be absent", "[codec]")
{
    const auto bytes = encode(sampleUpdate());
    const auto decoded = decode(bytes);
    REQUIRE(decoded);
    const auto &limits = std::get<DirectoryUpdate>(*decoded).rows->coldLimits;
    REQUIRE(limits.size() == 1);
    CHECK(limits[0].service == ServiceId::ofName("live"));
    CHECK(limits[0].coldTime == std::chrono::seconds(6));
    CHECK(limits[0].requestsPerSecond == 0.125);
    auto map = nlohmann::json::from_cbor(bytes);
    REQUIRE(map["r"].erase("k") == 1);
    const auto older = decode(nlohmann::json::to_cbor(map));
    REQUIRE(older);
    CHECK(std::get<DirectoryUpdate>(*older).rows->coldLimits.empty());
}

TEST_CASE("a directory update without start times and faulty entries is decoded", "[codec]")
{
    auto map = nlohmann::json::from_cbor(encode(sampleUpdate()));
    const auto count = map.size();
    map.erase("b");
    map.erase("f");
    REQUIRE(map.size() == count - 2);
    const auto decoded = decode(nlohmann::json::to_cbor(map));
    REQUIRE(decoded);
    const auto &update = std::get<DirectoryUpdate>(*decoded);
    CHECK(update.present.size() == 2);
    CHECK(update.present[1].upstream.startedAt == WallTime());
    CHECK(update.faulty.empty());
    // The number of start times must match the number of upstreams.
    map["b"] = { 1 };
    CHECK_FALSE(decode(nlohmann::json::to_cbor(map)));
}

} // namespace flamingograde
