/// Which table places a key, and when a move of keys may be believed.
#include "core/keys/placementhistory.h"

#include <flamingograde/config.h>

#include <catch2/catch.hpp>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

const auto service = ServiceId::ofName("packs");
const auto zoneA = ZoneId::ofName("a");
const auto zoneB = ZoneId::ofName("b");
const auto start = WallTime(1'700'000'000s);

/// Returns the placement of a table that leads all keys to one zone.
auto onlyIn(ZoneId zone, std::uint64_t revision, Duration published,
            std::optional<Duration> agreed = {}) -> TablePlacement
{
    TablePlacement placement { { revision }, start + published, { { service, zone, 2 } }, {} };
    if (agreed) {
        placement.agreed = start + *agreed;
    }
    return placement;
}

/// Returns the same with a little left in the other zone, where the key of `placeOf` never goes.
auto mostlyIn(ZoneId zone, std::uint64_t revision, Duration published,
              std::optional<Duration> agreed = {}) -> TablePlacement
{
    auto placement = onlyIn(zone, revision, published, agreed);
    placement.zones.front().slots = 1e6;
    placement.zones.push_back({ service, zone == zoneA ? zoneB : zoneA, 1 });
    return placement;
}

auto placeOf(const PlacementHistory &history, std::optional<Duration> birth, Duration now = 60s)
        -> KeyPlacement
{
    const std::string key = "k";
    KeyQuestion question { service, key, {}, start + now };
    if (birth) {
        question.birth = start + *birth;
    }
    return history.find(question);
}

} // namespace

TEST_CASE("a key is placed by the newest table published long enough before its birth")
{
    PlacementHistory history(config::clockBound);
    CHECK(placeOf(history, 0s).since == PlacementHistory::never);
    history.merge({ mostlyIn(zoneA, 1, 0s) }, start);
    CHECK(placeOf(history, 0s).zone == zoneA);
    CHECK(placeOf(history, 0s).since == PlacementHistory::never);
    history.agree(start + 1s);
    history.merge({ mostlyIn(zoneB, 2, 20s) }, start + 20s);
    CHECK(placeOf(history, 20s + config::placementDelay - 1us).zone == zoneA);
    CHECK(placeOf(history, 25s).since == start + 1s);
    CHECK(placeOf(history, 20s + config::placementDelay).zone == zoneB);
    CHECK(placeOf(history, 40s).since == PlacementHistory::never);
    CHECK_FALSE(history.isAgreed());
    history.agree(start + 23s);
    CHECK(placeOf(history, 40s).since == start + 23s);
    // A key without a birth is placed by the time of the question.
    CHECK(placeOf(history, {}, 25s).zone == zoneA);
    CHECK(placeOf(history, {}, 60s).zone == zoneB);
    CHECK(placeOf(history, {}, 60s).since == start + 20s + config::placementDelay);
}

TEST_CASE("a placement that comes to light late is not agreed, and histories become equal")
{
    PlacementHistory ours(config::clockBound);
    ours.merge({ mostlyIn(zoneA, 1, 0s), mostlyIn(zoneA, 3, 2s) }, start);
    ours.agree(start + 3s);
    PlacementHistory others(config::clockBound);
    others.merge({ mostlyIn(zoneB, 2, 1s), mostlyIn(zoneA, 3, 5s) }, start);
    CHECK(ours.digest() != others.digest());
    ours.merge(others.entries(), start + 6s);
    others.merge(ours.entries(), start + 6s);
    CHECK(ours.digest() == others.digest());
    REQUIRE(ours.entries().size() == 3);
    CHECK(ours.entries()[2].published == start + 2s);
    CHECK(placeOf(ours, 11s).zone == zoneB);
    CHECK(placeOf(ours, 11s).since == PlacementHistory::never);
    CHECK(placeOf(ours, 12s).zone == zoneA);
    CHECK(placeOf(ours, 12s).since == PlacementHistory::never);
    CHECK(placeOf(ours, 10s).since == start + 3s);
    // What the other host knew to be agreed holds here too, where it came in the same order.
    CHECK(placeOf(others, 10s).since == start + 3s);
}

TEST_CASE("a host that starts takes over what others know")
{
    PlacementHistory known(config::clockBound);
    known.merge({ mostlyIn(zoneA, 1, 0s), mostlyIn(zoneB, 2, 20s) }, start + 20s);
    known.agree(start + 22s);
    PlacementHistory young(config::clockBound);
    young.merge({ mostlyIn(zoneB, 2, 20s) }, start + 25s);
    CHECK(placeOf(young, 24s).since == PlacementHistory::never);
    young.merge(known.entries(), start + 25s);
    CHECK(young.digest() == known.digest());
    CHECK(placeOf(young, 24s).zone == zoneA);
    CHECK(placeOf(young, 24s).since == start + 22s);
    CHECK(placeOf(young, 40s).zone == zoneB);
    CHECK(young.isAgreed());
}

TEST_CASE("a placement is forgotten when its keys are past their lifetime")
{
    PlacementHistory history(config::clockBound);
    history.merge({ mostlyIn(zoneA, 1, 0s, 1s), mostlyIn(zoneB, 2, 20s) }, start);
    history.agree(start + 22s);
    const auto over = start + 20s + config::placementDelay + config::keyLifetime;
    history.expire(over);
    CHECK(history.entries().size() == 2);
    history.expire(over + 1us);
    REQUIRE(history.entries().size() == 1);
    // A key that the forgotten table placed elsewhere is not taken for a fresh one.
    CHECK(placeOf(history, 25s).zone == zoneB);
    CHECK(placeOf(history, 25s).since == start + 20s + config::placementDelay);
}

TEST_CASE("so many placements are kept as another host can be told")
{
    PlacementHistory history(config::clockBound);
    for (std::uint64_t revision = 1; revision <= config::placementTablesMax + 5; ++revision) {
        history.merge({ mostlyIn(zoneA, revision, 0s) }, start);
    }
    CHECK(history.entries().size() == config::placementTablesMax);
    CHECK(history.entries().front().revision.number == 6);
    auto large = mostlyIn(zoneA, 100, 1s);
    large.zones.resize(config::placementCellsMax);
    history.merge({ large }, start);
    CHECK(history.entries().size() == 1);
}

TEST_CASE("keys of a zone that is drained whole go elsewhere once all hosts know of it")
{
    PlacementHistory history(config::clockBound);
    history.merge({ onlyIn(zoneA, 1, 0s) }, start);
    history.agree(start + 1s);
    history.merge({ onlyIn(zoneB, 2, 20s) }, start + 20s);
    CHECK(placeOf(history, 24s).zone == zoneA);
    history.agree(start + 22s);
    CHECK(placeOf(history, 22s).zone == zoneA);
    CHECK(placeOf(history, 22s + config::clockBound + 1us).zone == zoneB);
    CHECK(placeOf(history, 24s).since == start + 22s);
    // When the zone is active again, its home cannot tell where the key was run meanwhile.
    history.merge({ onlyIn(zoneA, 3, 26s) }, start + 26s);
    history.agree(start + 28s);
    CHECK(placeOf(history, 24s).zone == zoneA);
    CHECK(placeOf(history, 24s).since == PlacementHistory::never);
}
