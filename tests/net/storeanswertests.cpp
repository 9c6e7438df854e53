/// Parsing of the store's responses, and rejection of invalid ones.
#include "base64.h"

#include "platform/storeanswers.h"
#include "platform/storedrows.h"
#include "platform/storevalues.h"
#include "wire/messagecodec.h"

#include <flamingograde/config.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <ctime>
#include <random>
#include <string>

using namespace flamingograde;
using namespace flamingograde::platform;
using nlohmann::json;

namespace {

constexpr std::uint32_t storeEpoch = 3;

constexpr std::uint64_t fuzzSeed = 20261202;
constexpr int fuzzInputs = 20000;

auto server() -> json
{
    return { { "service", "desk" },    { "address", "10.128.0.7:8080" },
             { "zone", "hall-1" },     { "version", "v3" },
             { "slots", 4 },           { "state", "draining" },
             { "coldLeftMs", 1500 },   { "seq", 9 },
             { "born", 1764700000123 } };
}

auto route() -> json
{
    return { { "name", "r-1" },       { "host", "198.18.0.7" }, { "prefix", "/8443/" },
             { "routeType", "safe" }, { "timeoutMs", 1200 },    { "targetLatencyMs", 150 },
             { "priority", 2 },       { "service", "desk" },    { "maxAttempts", 2 } };
}

auto sampleConfig() -> json
{
    return { { "version", 12 },
             { "routes", json::array({ route() }) },
             { "services", json::array() },
             { "limits", { { "idleTimeoutMs", 12000 } } } };
}

auto item(const std::string &key, const std::string &value, std::uint64_t revision) -> json
{
    return { { "key", key },
             { "value", toBase64(value) },
             { "revision", revision },
             { "createdRev", revision - 1 },
             { "lease", 77 } };
}

} // namespace

TEST_CASE("an instance is the hexadecimal number at the end of an upstream ID", "[store]")
{
    CHECK(instanceOf("i-3aaee8c3fa") == InstanceId(0x3aaee8c3fa));
    CHECK(instanceOf("I-FF") == InstanceId(0xff));
    CHECK(instanceOf("i-ffffffffffffffff") == InstanceId(~0ULL));
    CHECK_FALSE(instanceOf("i-").isValid());
    CHECK_FALSE(instanceOf("").isValid());
    CHECK_FALSE(instanceOf("i-10000000000000000").isValid());
    CHECK_FALSE(instanceOf("i-0").isValid());
}

TEST_CASE("every field of an upstream's value is parsed", "[store]")
{
    const auto upstream = readUpstream("i-0a", server().dump());
    REQUIRE(upstream);
    CHECK(upstream->name == "i-0a");
    CHECK(upstream->instance == InstanceId(10));
    CHECK(upstream->service == ServiceId::ofName("desk"));
    CHECK(upstream->zone == ZoneId::ofName("hall-1"));
    CHECK(upstream->address == *Address::parse("10.128.0.7:8080"));
    CHECK(upstream->slots == 4);
    CHECK(upstream->state == UpstreamState::Draining);
    CHECK(upstream->warmup == std::chrono::milliseconds(1500));
    CHECK(upstream->version == "v3");
    CHECK(upstream->startedAt == WallTime(std::chrono::milliseconds(1764700000123)));
}

TEST_CASE("an upstream with a missing or invalid field is rejected", "[store]")
{
    for (const auto *field :
         { "service", "address", "zone", "version", "slots", "state", "coldLeftMs", "seq" }) {
        auto broken = server();
        broken.erase(field);
        const auto missing = readUpstream("i-0a", broken.dump());
        REQUIRE_FALSE(missing);
        CHECK(missing.error().find(field) != std::string::npos);
        broken[field] = json::array();
        CHECK_FALSE(readUpstream("i-0a", broken.dump()));
    }
    auto invalid = server();
    invalid["state"] = "asleep";
    CHECK_FALSE(readUpstream("i-0a", invalid.dump()));
    invalid = server();
    invalid["address"] = "nowhere";
    CHECK_FALSE(readUpstream("i-0a", invalid.dump()));
    CHECK_FALSE(readUpstream("nobody", server().dump()));
    CHECK_FALSE(readUpstream("i-0a", "{"));
    CHECK_FALSE(readUpstream("i-0a", "[]"));
    // Unknown fields are ignored, and the start time is optional.
    auto extended = server();
    extended["colour"] = "blue";
    extended.erase("born");
    const auto withoutStart = readUpstream("i-0a", extended.dump());
    REQUIRE(withoutStart);
    CHECK(withoutStart->startedAt == WallTime());
    for (const auto &born : { json("1764700000123"), json(1764700000123.5), json(-1), json(true),
                              json(1e300), json::array(), json::object() }) {
        auto invalidStart = server();
        invalidStart["born"] = born;
        CHECK_FALSE(readUpstream("i-0a", invalidStart.dump()));
    }
    auto withControlCharacter = server();
    withControlCharacter["zone"] = "hall\n1";
    CHECK_FALSE(readUpstream("i-0a", withControlCharacter.dump()));
    CHECK_FALSE(readUpstream("i\n-0a", server().dump()));
}

TEST_CASE("invalid upstream entries are listed as faulty, and the valid one is kept", "[store]")
{
    auto invalid = server();
    invalid["slots"] = "many";
    const json body {
        { "items",
          { item("servers/i-01", server().dump(), 31), item("servers/i-02", invalid.dump(), 32),
            item("servers/i-03", "\xff\xfe", 33), item("servers/nobody", server().dump(), 34) } },
        { "morePages", false },
        { "currentRev", 40 }
    };
    const auto answer = parseItems(body.dump(), storeEpoch);
    REQUIRE(answer);
    REQUIRE(answer->update.present.size() == 1);
    CHECK(answer->update.present[0].upstream.instance == InstanceId(1));
    REQUIRE(answer->update.faulty.size() == 2);
    CHECK(answer->update.faulty[0].instance == InstanceId(2));
    CHECK(answer->update.faulty[0].at == Revision { 32, storeEpoch });
    CHECK(answer->update.faulty[1].instance == InstanceId(3));
    CHECK(answer->faults.size() == 3);
}

TEST_CASE("the last of several writes of one upstream in a response counts, valid or not",
          "[store]")
{
    const json body { { "events",
                        { item("servers/i-01", server().dump(), 31), item("servers/i-01", "{", 32),
                          item("servers/i-02", "{", 33),
                          item("servers/i-02", server().dump(), 34) } },
                      { "currentRev", 40 } };
    const auto answer = parseEvents(body.dump(), storeEpoch);
    REQUIRE(answer);
    REQUIRE(answer->update.present.size() == 1);
    CHECK(answer->update.present[0].upstream.instance == InstanceId(2));
    REQUIRE(answer->update.faulty.size() == 1);
    CHECK(answer->update.faulty[0].instance == InstanceId(1));
}

TEST_CASE("the time to parse a response grows with its events, not with their square", "[store]")
{
    // After an outage of the store, the leases of all upstreams may have lapsed: a watch then
    // returns an event for each.
    const auto parseTime = [](std::size_t events) {
        json list = json::array();
        for (std::size_t i = 1; i <= events; ++i) {
            list.push_back({ { "key", "servers/i-" + std::to_string(i) },
                             { "revision", i },
                             { "removed", true } });
        }
        const auto body = json { { "events", list }, { "currentRev", events } }.dump();
        const auto begin = std::clock();
        const auto answer = parseEvents(body, storeEpoch);
        const auto took = std::clock() - begin;
        REQUIRE(answer);
        CHECK(answer->update.removed.size() == events);
        return static_cast<double>(took);
    };
    constexpr std::size_t few = 6000;
    constexpr std::size_t factor = 10;
    parseTime(few); // Fills the allocator.
    // Allows three times the processor time of a linear growth.
    CHECK(parseTime(factor * few) < 3.0 * factor * parseTime(few));
}

TEST_CASE("an accepted upstream can be sent to other hosts", "[store][fuzz]")
{
    // Guards against an entry that the parser accepts but that other hosts refuse to decode: it
    // would make them reject the message that carries all the other upstreams.
    const std::vector<json> unusualValues { nullptr,
                                            true,
                                            -1,
                                            0,
                                            1.5,
                                            1e300,
                                            "",
                                            "a\tb",
                                            std::string(300, 'x'),
                                            json::array(),
                                            json::object(),
                                            18446744073709551615U,
                                            "ready",
                                            "10.0.0.1:0" };
    std::mt19937_64 random(fuzzSeed);
    std::size_t accepted = 0;
    for (int i = 0; i < fuzzInputs; ++i) {
        auto entry = server();
        for (auto changes = 1 + random() % 3; changes > 0; --changes) {
            auto field = entry.begin();
            std::advance(field, random() % entry.size());
            *field = unusualValues[random() % unusualValues.size()];
        }
        const auto upstream = readUpstream("i-0a", entry.dump());
        if (!upstream) {
            continue;
        }
        ++accepted;
        DirectoryUpdate update;
        update.upTo = { 9 };
        update.present = { { *upstream, { 7 }, { 6 } } };
        const auto sent = decode(encode(update));
        REQUIRE(sent);
        REQUIRE(std::get<DirectoryUpdate>(*sent).unreadable.empty());
    }
    CHECK(accepted > 0);
}

TEST_CASE("routes are parsed into rows", "[store]")
{
    auto threeRoutes = sampleConfig();
    auto weightedRoute = route();
    weightedRoute["name"] = "r-2";
    weightedRoute["host"] = "198.18.0.8";
    weightedRoute["routeType"] = "unsafe";
    weightedRoute["priority"] = 0;
    weightedRoute.erase("service");
    weightedRoute["weightedTargets"] = { { { "service", "desk" }, { "weight", 90 } },
                                         { { "service", "vault" }, { "weight", 10 } } };
    threeRoutes["routes"].push_back(weightedRoute);
    auto upload = route();
    upload["name"] = "r-3";
    upload["prefix"] = "/9000/";
    upload["routeType"] = "upload";
    threeRoutes["routes"].push_back(upload);
    const auto read = readRows(threeRoutes.dump());
    REQUIRE(read);
    CHECK(read->faults.empty());
    const auto &rows = read->rows;
    CHECK(rows->version == 12);
    CHECK(rows->flowIdle == std::chrono::milliseconds(12000));
    REQUIRE(rows->rows.size() == 3);
    const auto &first = rows->rows[0];
    CHECK(first.address == *Address::parse("198.18.0.7:8443"));
    CHECK(first.idempotent);
    CHECK(first.urgency == 7);
    CHECK(first.deadline == std::chrono::milliseconds(1200));
    CHECK(first.target == std::chrono::milliseconds(150));
    REQUIRE(first.shares.size() == 1);
    const auto &second = rows->rows[1];
    CHECK_FALSE(second.idempotent);
    CHECK(second.urgency == 9);
    REQUIRE(second.shares.size() == 2);
    CHECK(second.shares[1].service == ServiceId::ofName("vault"));
    CHECK(second.shares[1].weight == 10);
    const auto &third = rows->rows[2];
    CHECK(third.kind == RequestKind::Upload);
    CHECK_FALSE(third.idempotent);
}

TEST_CASE("cold limits are parsed, and a service with no rate or a rate of 0 has none", "[store]")
{
    auto limited = sampleConfig();
    limited["services"] = json::array({
            { { "name", "desk" }, { "coldStartS", 6.5 }, { "coldPerS", 2.5 } },
            { { "name", "vault" }, { "coldStartS", 2.0 }, { "coldPerS", 0.0 } },
            { { "name", "hall" } },
    });
    const auto rows = readRows(limited.dump());
    REQUIRE(rows);
    REQUIRE(rows->rows->coldLimits.size() == 1);
    const auto &limit = rows->rows->coldLimits[0];
    CHECK(limit.service == ServiceId::ofName("desk"));
    CHECK(limit.coldTime == std::chrono::milliseconds(6500));
    CHECK(limit.requestsPerSecond == 2.5);
    for (const auto &wrong : { json(-1), json("3"), json::array(), json(true) }) {
        for (const auto *field : { "coldStartS", "coldPerS" }) {
            auto faulty = limited;
            faulty["services"][0][field] = wrong;
            faulty["services"][1]["coldPerS"] = 3;
            INFO(field << " " << wrong);
            const auto read = readRows(faulty.dump());
            REQUIRE(read);
            CHECK(read->rows->rows.size() == 1);
            CHECK(read->faults.size() == 1);
            CHECK(read->rows->coldLimits.back().service == ServiceId::ofName("vault"));
        }
    }
    limited["services"] = 5;
    const auto withoutServices = readRows(limited.dump());
    REQUIRE(withoutServices);
    CHECK(withoutServices->faults.size() == 1);
    CHECK(withoutServices->rows->coldLimits.empty());
}

// Guards against a version that no host takes because one of its values is larger or longer than
// expected.
TEST_CASE("a configuration is read whatever the size of its values", "[store]")
{
    const std::string longName(100000, 'n');
    auto large = sampleConfig();
    auto &first = large["routes"][0];
    first["name"] = longName;
    first["service"] = longName;
    first["timeoutMs"] = 4 * 3600 * 1000;
    first["targetLatencyMs"] = 1e300;
    first["priority"] = 1000000;
    large["routes"].push_back(route());
    auto &second = large["routes"][1];
    second["host"] = "198.18.0.8";
    second["timeoutMs"] = 1200.5;
    second["weightedTargets"] = { { { "service", "desk" }, { "weight", 0.5 } },
                                  { { "service", longName }, { "weight", 0.25 } } };
    large["limits"]["idleTimeoutMs"] = 1e15;
    large["services"] = json::array({ { { "name", longName }, { "coldPerS", 1e300 } } });
    const auto read = readRows(large.dump());
    REQUIRE(read);
    CHECK(read->faults.empty());
    const auto &rows = *read->rows;
    REQUIRE(rows.rows.size() == 2);
    CHECK(rows.rows[0].name == longName);
    CHECK(rows.rows[0].shares[0].service == ServiceId::ofName(longName));
    CHECK(rows.rows[0].deadline == std::chrono::hours(4));
    CHECK(rows.rows[0].urgency == 0);
    CHECK(rows.rows[1].deadline == std::chrono::microseconds(1200500));
    CHECK(rows.rows[1].shares[0].weight == 2 * rows.rows[1].shares[1].weight);

    DirectoryUpdate update;
    update.upTo = { 9 };
    update.rows = read->rows;
    const auto sent = decode(encode(update));
    REQUIRE(sent);
    const auto &received = std::get<DirectoryUpdate>(*sent);
    CHECK(received.unreadable.empty());
    REQUIRE(received.rows->rows.size() == 2);
    CHECK(received.rows->rows[0].name == longName);
    CHECK(received.rows->rows[0].deadline == std::chrono::hours(4));
    CHECK(received.rows->rows[0].target == rows.rows[0].target);
    CHECK(received.rows->flowIdle == rows.flowIdle);
    REQUIRE(received.rows->coldLimits.size() == 1);
}

TEST_CASE("a route that cannot be used costs only itself", "[store]")
{
    const auto expectLeftOut = [](const json &unusable, const json &usable) {
        INFO(unusable.dump());
        auto config = sampleConfig();
        config["routes"] = json::array({ unusable, usable });
        const auto read = readRows(config.dump());
        REQUIRE(read);
        CHECK_FALSE(read->faults.empty());
        REQUIRE(read->rows->rows.size() == 1);
        CHECK(read->rows->rows[0].address == *Address::parse("198.18.0.8:8443"));
        config["routes"] = json::array({ unusable });
        CHECK_FALSE(readRows(config.dump()));
    };
    auto usable = route();
    usable["host"] = "198.18.0.8";
    for (const auto *prefix : { "8443", "/8443", "//", "/0/", "/70000/", "/x/", "" }) {
        auto wrong = route();
        wrong["prefix"] = prefix;
        expectLeftOut(wrong, usable);
    }
    for (const auto *field : { "host", "prefix", "service" }) {
        for (const auto &value : { json(), json("example.org "), json(""), json(5) }) {
            auto wrong = route();
            wrong[field] = value;
            if (value != "example.org " || field != std::string("service")) {
                expectLeftOut(wrong, usable);
            }
        }
    }
    expectLeftOut(json(7), usable);
    expectLeftOut(json::array(), usable);
}

TEST_CASE("any other value of a configuration that cannot be used counts as not set", "[store]")
{
    for (const auto *field : { "name", "routeType", "timeoutMs", "targetLatencyMs", "priority" }) {
        for (const auto &value : { json::array(), json(true), json(-1.5) }) {
            auto config = sampleConfig();
            config["routes"][0][field] = value;
            INFO(field << " " << value);
            const auto read = readRows(config.dump());
            REQUIRE(read);
            CHECK(read->faults.size() == 1);
            REQUIRE(read->rows->rows.size() == 1);
            const auto &row = read->rows->rows[0];
            CHECK(row.address == *Address::parse("198.18.0.7:8443"));
            CHECK(row.deadline > Duration(0));
            CHECK((row.idempotent || field == std::string("routeType")));
        }
    }
    auto config = sampleConfig();
    config.erase("limits");
    const auto read = readRows(config.dump());
    REQUIRE(read);
    CHECK(read->rows->rows.size() == 1);
    CHECK(read->faults.size() == 1);
}

TEST_CASE("a configuration without a version or a list of routes is rejected", "[store]")
{
    for (const auto &version : { json(), json(-4), json("12"), json(1.5) }) {
        auto wrong = sampleConfig();
        wrong["version"] = version;
        CHECK_FALSE(readRows(wrong.dump()));
    }
    auto wrong = sampleConfig();
    wrong["routes"] = json::object();
    CHECK_FALSE(readRows(wrong.dump()));
    CHECK(readRows(sampleConfig().dump()));
}

TEST_CASE("an unusable value of the configuration is reported, and the rest is in force", "[store]")
{
    auto config = sampleConfig();
    config["routes"].push_back(json(7));
    const json body { { "items", { item("op/config", config.dump(), 5) } },
                      { "morePages", false },
                      { "currentRev", 9 } };
    const auto answer = parseItems(body.dump(), storeEpoch);
    REQUIRE(answer);
    REQUIRE(answer->update.rows != nullptr);
    CHECK(answer->update.rows->rows.size() == 1);
    REQUIRE(answer->faults.size() == 1);
    CHECK(answer->faults[0].find("op/config: route 2") != std::string::npos);
}

// Guards against upstreams that get no flows because of the length or size of a value.
TEST_CASE("an upstream is read whatever the size of its values", "[store]")
{
    auto entry = server();
    entry["version"] = "sha256:" + std::string(1000, 'f');
    entry["service"] = std::string(1000, 's');
    entry["zone"] = std::string(1000, 'z');
    entry["slots"] = 1000000;
    entry["coldLeftMs"] = 7.2e6 + 0.5;
    const auto id = std::string(180, 'x') + "-0a";
    const auto upstream = readUpstream(id, entry.dump());
    REQUIRE(upstream);
    CHECK(upstream->instance == InstanceId(10));
    CHECK(upstream->slots == config::slotsMax);
    CHECK(upstream->warmup > std::chrono::hours(2));
    DirectoryUpdate update;
    update.upTo = { 9 };
    update.present = { { *upstream, { 7 }, { 6 } } };
    const auto sent = decode(encode(update));
    REQUIRE(sent);
    REQUIRE(std::get<DirectoryUpdate>(*sent).present.size() == 1);
    CHECK(std::get<DirectoryUpdate>(*sent).present[0].upstream.name == id);
}

TEST_CASE("a response yields rows and upstreams, and other keys are ignored", "[store]")
{
    const json body { { "items",
                        { item("op/config", sampleConfig().dump(), 5),
                          item("servers/i-0a", server().dump(), 7), item("other/thing", "x", 6) } },
                      { "morePages", true },
                      { "currentRev", 9 } };
    const auto answer = parseItems(body.dump(), storeEpoch);
    REQUIRE(answer);
    CHECK(answer->faults.empty());
    CHECK(answer->update.upTo == Revision { 9, storeEpoch });
    CHECK(answer->nextPage == "other/thing");
    REQUIRE(answer->update.rows != nullptr);
    CHECK(answer->update.rows->changed == Revision { 5, storeEpoch });
    REQUIRE(answer->update.present.size() == 1);
    CHECK(answer->update.present[0].changed == Revision { 7, storeEpoch });
    CHECK(answer->update.present[0].created == Revision { 6, storeEpoch });
}

TEST_CASE("invalid items are reported, and the valid one is kept", "[store]")
{
    auto notBase64 = item("servers/i-0b", "x", 8);
    notBase64["value"] = "***";
    const json body { { "items",
                        { item("servers/i-0a", server().dump(), 7),
                          notBase64,
                          item("servers/i-0c", "{}", 6),
                          { { "key", "servers/i-0d" } } } },
                      { "morePages", false },
                      { "currentRev", 9 } };
    const auto answer = parseItems(body.dump(), storeEpoch);
    REQUIRE(answer);
    CHECK(answer->faults.size() == 3);
    CHECK(answer->update.present.size() == 1);
    CHECK(answer->nextPage.empty());
}

TEST_CASE("a removal after a write of an upstream counts, and a removal of the rows is ignored",
          "[store]")
{
    const json removed { { "key", "servers/i-0a" }, { "revision", 8 }, { "removed", true } };
    const json body { { "events",
                        { item("servers/i-0a", server().dump(), 7),
                          removed,
                          item("servers/i-0b", server().dump(), 9),
                          { { "key", "op/config" }, { "revision", 10 }, { "removed", true } } } },
                      { "currentRev", 11 } };
    const auto answer = parseEvents(body.dump(), storeEpoch);
    REQUIRE(answer);
    REQUIRE(answer->update.present.size() == 1);
    CHECK(answer->update.present[0].upstream.instance == InstanceId(11));
    REQUIRE(answer->update.removed.size() == 1);
    CHECK(answer->update.removed[0].instance == InstanceId(10));
    CHECK(answer->update.removed[0].at == Revision { 8, storeEpoch });
    CHECK(answer->update.rows == nullptr);
}

TEST_CASE("an evacuation key is an order in force whatever its value", "[store]")
{
    auto notBase64 = item("op/evacuate/hall-3", "x", 8);
    notBase64["value"] = "***";
    const json body { { "items",
                        { item("op/evacuate/hall-1", "{}", 5), item("op/evacuate/hall-2", "", 6),
                          notBase64, item("op/evacuate/hall-4", std::string(1U << 20U, 'x'), 9) } },
                      { "morePages", false },
                      { "currentRev", 9 } };
    const auto answer = parseItems(body.dump(), storeEpoch);
    REQUIRE(answer);
    CHECK(answer->faults.empty());
    REQUIRE(answer->update.evacuations.size() == 4);
    CHECK(answer->update.evacuations[0].zone == ZoneId::ofName("hall-1"));
    CHECK(answer->update.evacuations[0].zoneName == "hall-1");
    CHECK(answer->update.evacuations[0].at.number == 5);
    CHECK(answer->update.evacuations[0].inForce);
    CHECK(answer->update.evacuations[2].zoneName == "hall-3");
}

TEST_CASE("the last of several evacuation orders for one zone in a response counts", "[store]")
{
    const auto removal = [](const std::string &key, std::uint64_t revision) {
        return json { { "key", key }, { "revision", revision }, { "removed", true } };
    };
    const json body { { "events",
                        { item("op/evacuate/hall-1", "{}", 5), removal("op/evacuate/hall-1", 6),
                          removal("op/evacuate/hall-2", 7), item("op/evacuate/hall-2", "{}", 8) } },
                      { "currentRev", 9 } };
    const auto answer = parseEvents(body.dump(), storeEpoch);
    REQUIRE(answer);
    REQUIRE(answer->update.evacuations.size() == 2);
    CHECK_FALSE(answer->update.evacuations[0].inForce);
    CHECK(answer->update.evacuations[0].at.number == 6);
    CHECK(answer->update.evacuations[1].inForce);
    CHECK(answer->update.evacuations[1].at.number == 8);
}

TEST_CASE("an evacuation key without a valid zone or revision is reported as a fault and skipped",
          "[store]")
{
    const json noRevision { { "key", "op/evacuate/hall-2" }, { "value", "" } };
    const json body { { "items",
                        { item("op/evacuate/", "{}", 5), item("op/evacuate/hall/1", "{}", 6),
                          item("op/evacuate/\x01", "{}", 7), noRevision,
                          item("servers/i-0a", server().dump(), 8) } },
                      { "morePages", false },
                      { "currentRev", 9 } };
    const auto answer = parseItems(body.dump(), storeEpoch);
    REQUIRE(answer);
    CHECK(answer->faults.size() == 4);
    CHECK(answer->update.evacuations.empty());
    CHECK(answer->update.present.size() == 1);
}

TEST_CASE("malformed responses are rejected", "[store]")
{
    for (const auto *body : { "", "x", "[]", "{}", R"({"items": 5, "currentRev": 1})",
                              R"({"events": []})", R"({"items": [], "currentRev": "x"})" }) {
        INFO(body);
        CHECK_FALSE(parseItems(body, storeEpoch));
        CHECK_FALSE(parseEvents(body, storeEpoch));
    }
}

TEST_CASE("mutated responses are parsed or rejected without throwing", "[store]")
{
    std::mt19937_64 random(fuzzSeed);
    const json body { { "items",
                        { item("op/config", sampleConfig().dump(), 5),
                          item("servers/i-0a", server().dump(), 7) } },
                      { "morePages", false },
                      { "currentRev", 9 } };
    const auto original = body.dump();
    const auto values = { sampleConfig().dump(), server().dump() };
    int refused = 0;
    for (int i = 0; i < fuzzInputs; ++i) {
        auto text = original;
        for (std::uint64_t edits = 1 + random() % 3; edits > 0; --edits) {
            const auto at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, 1 + random() % 20);
                break;
            default:
                text.insert(at, 1, "0123456789{}[]\",:-e."[random() % 20]);
            }
        }
        const auto answer = parseItems(text, storeEpoch);
        refused += answer ? 0 : 1;
        (void)parseEvents(text, storeEpoch);
        for (auto value : values) {
            value[random() % value.size()] = static_cast<char>(random());
            (void)readRows(value);
            (void)readUpstream("i-0a", value);
        }
    }
    CHECK(refused > fuzzInputs / 4);
}
