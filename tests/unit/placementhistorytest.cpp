/// Which table places a key, and from when a key is known not to have been run in another zone.
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

/// Returns the placement of a table that places all keys in one zone.
auto onlyIn(ZoneId zone, std::uint64_t revision, Duration published,
            std::optional<Duration> agreed = {}) -> TablePlacement
{
    TablePlacement placement { { revision }, start + published, { { service, zone, 2 } }, {} };
    if (agreed) {
        placement.agreed = start + *agreed;
    }
    return placement;
}

/// Returns the placement of a table in which both zones are active, but the other zone has so few
/// slots that the key of `placeOf` is placed in `zone`.
auto mostlyIn(ZoneId zone, std::uint64_t revision, Duration published,
              std::optional<Duration> agreed = {}) -> TablePlacement
{
    auto placement = onlyIn(zone, revision, published, agreed);
    placement.zones.front().slots = 1e6;
    placement.zones.push_back({ service, zone == zoneA ? zoneB : zoneA, 1 });
    return placement;
}

/// Returns the placement of the test's only key, made at `birth` and queried at `now`, both counted
/// from `start`.
auto placeOf(const PlacementHistory &history, std::optional<Duration> birth, Duration now = 60s)
        -> KeyPlacement
{
    const std::string key = "k";
    PlacementQuery query { service, key, {}, start + now };
    if (birth) {
        query.birth = start + *birth;
    }
    return history.find(query);
}

} // namespace

TEST_CASE("a key is placed by the newest table that is older than it by the placement delay")
{
    PlacementHistory history(config::clockBound);
    CHECK(placeOf(history, 0s).since == PlacementHistory::unknownSince);
    history.merge({ mostlyIn(zoneA, 1, 0s) }, start);
    CHECK(placeOf(history, 0s).zone == zoneA);
    CHECK(placeOf(history, 0s).since == PlacementHistory::unknownSince);
    history.markAgreed(start + 1s);
    history.merge({ mostlyIn(zoneB, 2, 20s) }, start + 20s);
    CHECK(placeOf(history, 20s + config::placementDelay - 1us).zone == zoneA);
    CHECK(placeOf(history, 25s).since == start + 1s);
    CHECK(placeOf(history, 20s + config::placementDelay).zone == zoneB);
    CHECK(placeOf(history, 40s).since == PlacementHistory::unknownSince);
    CHECK_FALSE(history.isAgreed());
    history.markAgreed(start + 23s);
    CHECK(placeOf(history, 40s).since == start + 23s);
    // A key without a birth time is placed by the time of the query.
    CHECK(placeOf(history, {}, 25s).zone == zoneA);
    CHECK(placeOf(history, {}, 60s).zone == zoneB);
    CHECK(placeOf(history, {}, 60s).since == start + 20s + config::placementDelay);
}

TEST_CASE("a placement learnt late counts as not agreed on by all hosts, and merged histories "
          "become equal")
{
    PlacementHistory ours(config::clockBound);
    ours.merge({ mostlyIn(zoneA, 1, 0s), mostlyIn(zoneA, 3, 2s) }, start);
    ours.markAgreed(start + 3s);
    PlacementHistory theirs(config::clockBound);
    theirs.merge({ mostlyIn(zoneB, 2, 1s), mostlyIn(zoneA, 3, 5s) }, start);
    CHECK(ours.digest() != theirs.digest());
    ours.merge(theirs.entries(), start + 6s);
    theirs.merge(ours.entries(), start + 6s);
    CHECK(ours.digest() == theirs.digest());
    REQUIRE(ours.entries().size() == 3);
    CHECK(ours.entries()[2].published == start + 2s);
    CHECK(placeOf(ours, 11s).zone == zoneB);
    CHECK(placeOf(ours, 11s).since == PlacementHistory::unknownSince);
    CHECK(placeOf(ours, 12s).zone == zoneA);
    CHECK(placeOf(ours, 12s).since == PlacementHistory::unknownSince);
    CHECK(placeOf(ours, 10s).since == start + 3s);
    // A merge takes over the other host's time of agreement on a placement if the placement before
    // it is the same in both histories.
    CHECK(placeOf(theirs, 10s).since == start + 3s);
}

TEST_CASE("a host that starts takes over the placements and agreement times of other hosts")
{
    PlacementHistory known(config::clockBound);
    known.merge({ mostlyIn(zoneA, 1, 0s), mostlyIn(zoneB, 2, 20s) }, start + 20s);
    known.markAgreed(start + 22s);
    PlacementHistory started(config::clockBound);
    started.merge({ mostlyIn(zoneB, 2, 20s) }, start + 25s);
    CHECK(placeOf(started, 24s).since == PlacementHistory::unknownSince);
    started.merge(known.entries(), start + 25s);
    CHECK(started.digest() == known.digest());
    CHECK(placeOf(started, 24s).zone == zoneA);
    CHECK(placeOf(started, 24s).since == start + 22s);
    CHECK(placeOf(started, 40s).zone == zoneB);
    CHECK(started.isAgreed());
}

TEST_CASE("a placement is forgotten when all keys placed by it are past their lifetime")
{
    PlacementHistory history(config::clockBound);
    history.merge({ mostlyIn(zoneA, 1, 0s, 1s), mostlyIn(zoneB, 2, 20s) }, start);
    history.markAgreed(start + 22s);
    const auto expiry = start + 20s + config::placementDelay + config::keyLifetime;
    history.expire(expiry);
    CHECK(history.entries().size() == 2);
    history.expire(expiry + 1us);
    REQUIRE(history.entries().size() == 1);
    // Keys made before table 2 took effect may have been run in zone a.
    CHECK(placeOf(history, 25s).zone == zoneB);
    CHECK(placeOf(history, 25s).since == start + 20s + config::placementDelay);
}

TEST_CASE("no more placements are kept than fit into a message to another host")
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

TEST_CASE("keys of a fully drained zone move to another zone once all hosts agree on the new table")
{
    PlacementHistory history(config::clockBound);
    history.merge({ onlyIn(zoneA, 1, 0s) }, start);
    history.markAgreed(start + 1s);
    history.merge({ onlyIn(zoneB, 2, 20s) }, start + 20s);
    CHECK(placeOf(history, 24s).zone == zoneA);
    history.markAgreed(start + 22s);
    CHECK(placeOf(history, 22s).zone == zoneA);
    CHECK(placeOf(history, 22s + config::clockBound + 1us).zone == zoneB);
    CHECK(placeOf(history, 24s).since == start + 22s);
    // After the zone is active again, its home cannot know whether the key was run elsewhere
    // meanwhile.
    history.merge({ onlyIn(zoneA, 3, 26s) }, start + 26s);
    history.markAgreed(start + 28s);
    CHECK(placeOf(history, 24s).zone == zoneA);
    CHECK(placeOf(history, 24s).since == PlacementHistory::unknownSince);
}
