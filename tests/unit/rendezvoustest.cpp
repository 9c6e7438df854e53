/// Tests the proportions and the stability of rendezvous hashing, and the placement of keys.
#include "core/rendezvous.h"
#include "core/keys/idempotencykey.h"
#include "core/keys/keyplacement.h"
#include "sampletable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace flamingograde;

namespace {

constexpr std::uint64_t keys = 100000;

auto sampleNodes() -> std::vector<RendezvousNode>
{
    return { { hashName("a"), 1 },
             { hashName("b"), 2 },
             { hashName("c"), 3 },
             { hashName("d"), 0 },
             { hashName("e"), 4 } };
}

} // namespace

TEST_CASE("rendezvous hashing gives nodes keys in proportion to their weight")
{
    const auto nodes = sampleNodes();
    std::vector<std::size_t> counts(nodes.size());
    for (std::uint64_t key = 0; key < keys; ++key) {
        ++counts[rendezvousPick(key, nodes)];
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const auto share = static_cast<double>(counts[i]) / keys;
        CHECK(std::abs(share - nodes[i].weight / 10) < 0.006); // Four standard deviations.
    }
}

TEST_CASE("rendezvous hashing ignores the node order and a removed node moves only its own keys")
{
    const auto nodes = sampleNodes();
    auto reversed = nodes;
    std::reverse(reversed.begin(), reversed.end());
    auto fewer = nodes;
    fewer.erase(fewer.begin() + 1);
    for (std::uint64_t key = 0; key < 10000; ++key) {
        const auto winner = nodes[rendezvousPick(key, nodes)].id;
        CHECK(reversed[rendezvousPick(key, reversed)].id == winner);
        CHECK(nodes[rendezvousOrder(key, nodes).front()].id == winner);
        if (winner != nodes[1].id) {
            CHECK(fewer[rendezvousPick(key, fewer)].id == winner);
        }
    }
    CHECK(rendezvousPick(1, {}) == rendezvousNone);
    CHECK(rendezvousPick(1, { { 7, 0 } }) == rendezvousNone);
}

TEST_CASE("hashes, cell ids and rendezvous scores keep their fixed values")
{
    // Hosts exchange these values over the network. A change would make hosts of the old and the
    // new release disagree during an upgrade of the fleet.
    CHECK(hashName("packs") == 0x6d3ae3b021ffc53cULL);
    CHECK(cellOf(ServiceId(1), ZoneId(2)).value() == 0x07ee86c281446befULL);
    CHECK(rendezvousScore(1, { 2, 1 }) == Approx(0.287827388));
}

TEST_CASE("idempotency keys are generated, parsed and validated")
{
    std::mt19937_64 random(1);
    const auto made = WallTime(std::chrono::milliseconds(1'800'000'000'123));
    const auto uuid = makeUuidV7(random, made);
    CHECK(keyCreationTime(uuid) == made);
    CHECK(keyCreationTime("auckland-1." + uuid) == made);
    CHECK(keyZoneNameOf("auckland-1." + uuid) == "auckland-1");
    CHECK(keyZoneNameOf(uuid).empty());
    CHECK(keyZoneNameOf("a.b").empty());
    CHECK_FALSE(keyCreationTime("0190163d-8694-4000-8000-000000000000"));
    CHECK_FALSE(keyCreationTime(uuid.substr(1)));
    CHECK_FALSE(keyCreationTime(uuid + "0"));
    CHECK(isWellFormedKey(uuid));
    CHECK_FALSE(isWellFormedKey("two words"));
    CHECK_FALSE(isWellFormedKey("line\nbreak"));
    CHECK_FALSE(isWellFormedKey(std::string(129, 'x')));
}

TEST_CASE("keys are spread by zone slots and a key naming a zone stays there until it drains")
{
    auto text = rowsText() + upstreamText("pa1", "packs", "a", 1, "slots = 2\n")
                + upstreamText("pb1", "packs", "b", 2, "slots = 6\n")
                + upstreamText("ia1", "intake", "a", 3);
    const auto table = tableOf(text);
    const auto packs = ServiceId::ofName("packs");
    std::mt19937_64 random(3);
    std::size_t keysInZoneA = 0;
    for (int i = 0; i < 10000; ++i) {
        const auto key = makeUuidV7(random, {});
        keysInZoneA += zoneOfKey(table, packs, key) == ZoneId::ofName("a") ? 1 : 0;
        CHECK(zoneOfKey(table, packs, "a." + key) == ZoneId::ofName("a"));
    }
    CHECK(std::abs(static_cast<double>(keysInZoneA) / 10000 - 0.25) < 0.018);
    const auto drained =
            tableOf(rowsText() + upstreamText("pa1", "packs", "a", 1, "state = \"draining\"\n")
                    + upstreamText("pb1", "packs", "b", 2) + upstreamText("ia1", "intake", "a", 3));
    const auto key = makeUuidV7(random, {});
    CHECK(zoneOfKey(drained, packs, "a." + key) == ZoneId::ofName("b"));
    CHECK_FALSE(zoneOfKey(drained, ServiceId::ofName("none"), key).isValid());
}
