/// Tests of the directory: updates in any order, removals, tombstones, evacuations and cookies.
#include "packetboard.h"

#include "core/directory/directory.h"
#include "core/directory/directoryepoch.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

const MonoTime start { 100s };

auto whole(std::uint64_t upTo, std::vector<DirectoryRecord> records) -> DirectoryUpdate
{
    DirectoryUpdate update;
    update.upTo = { upTo };
    update.present = std::move(records);
    return update;
}

auto delta(std::uint64_t after, std::uint64_t upTo, std::vector<DirectoryRecord> records)
        -> DirectoryUpdate
{
    auto update = whole(upTo, std::move(records));
    update.after = { after };
    return update;
}

auto evacuation(const std::string &zone, std::uint64_t at, bool inForce = true) -> ZoneEvacuation
{
    return { ZoneId::ofName(zone), zone, { at }, inForce };
}

/// Returns the present entries of a directory as sorted lines, for comparison.
auto presentEntries(const Directory &directory) -> std::vector<std::string>
{
    std::vector<std::string> lines;
    for (const auto &entry : directory.entries()) {
        if (entry.record.upstream.instance.isValid() && entry.presence != Presence::Removed) {
            lines.push_back(std::to_string(entry.record.upstream.instance.value()) + " "
                            + std::to_string(entry.newest.number) + " "
                            + std::to_string(static_cast<int>(entry.record.upstream.state)));
        }
    }
    std::sort(lines.begin(), lines.end());
    return lines;
}

} // namespace

TEST_CASE("a whole update adds its upstreams to the near and far pools of their service",
          "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    const auto changes = directory.apply(
            whole(9, { record(1, "live", "a", 3), record(2, "live", "b", 4) }), start);
    CHECK(changes.advanced);
    CHECK(changes.listed.size() == 2);
    CHECK(directory.revision().number == 9);
    const auto &pool = directory.poolOf(ServiceId::ofName("live"));
    CHECK(pool.near.size() == 1);
    CHECK(pool.far.size() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("other")).near.empty());
}

TEST_CASE("an older update changes nothing", "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3) }), start);
    const auto changes = directory.apply(whole(8, { record(2, "live", "a", 7) }), start);
    CHECK_FALSE(changes.advanced);
    CHECK(directory.listedCount() == 1);
    CHECK(directory.revision().number == 9);
}

TEST_CASE("an update that skips changes cannot be applied", "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, {}), start);
    CHECK_FALSE(directory.canApply(delta(10, 12, {})));
    CHECK(directory.canApply(delta(9, 12, {})));
    CHECK(directory.canApply(delta(5, 12, {})));
    CHECK(directory.canApply(whole(12, {})));
    CHECK_FALSE(directory.canApply(DirectoryUpdate {}));
}

TEST_CASE("an upstream that is absent from a whole update is removed", "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3), record(2, "live", "a", 4) }), start);
    const auto changes = directory.apply(whole(12, { record(1, "live", "a", 3) }), start);
    CHECK(changes.removed.size() == 1);
    CHECK(directory.listedCount() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 1);
    const auto *gone = directory.byCookie(Cookie::of(InstanceId(2)));
    REQUIRE(gone != nullptr);
    CHECK(gone->presence == Presence::Removed);
}

TEST_CASE("a draining upstream gets no new flows and is reported as leaving only once",
          "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3) }), start);
    auto draining = record(1, "live", "a", 11);
    draining.upstream.state = UpstreamState::Draining;
    CHECK(directory.apply(delta(9, 11, { draining }), start).leaving.size() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.empty());
    draining.changed = { 13 };
    CHECK(directory.apply(delta(11, 13, { draining }), start).leaving.empty());
}

TEST_CASE("a deferred removal takes effect only if the upstream does not register again in time",
          "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3), record(2, "live", "a", 4) }), start);
    auto update = delta(9, 12, {});
    update.removed = { { InstanceId(1), { 10 } }, { InstanceId(2), { 11 } } };
    update.removalsDeferredFor = 2s;
    const auto changes = directory.apply(update, start);
    CHECK(changes.missing.size() == 2);
    CHECK(changes.removed.empty());
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 2);
    directory.apply(delta(12, 13, { record(1, "live", "a", 13) }), start + 1s);
    CHECK(directory.processRemovals(start + 1900ms).removed.empty());
    const auto settled = directory.processRemovals(start + 2s);
    REQUIRE(settled.removed.size() == 1);
    CHECK(directory.at(settled.removed.front()).record.upstream.instance == InstanceId(2));
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("live")).silent.empty());
}

TEST_CASE("an evacuated zone's upstreams are in no pool until the evacuation ends", "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3), record(2, "live", "b", 4),
                               record(3, "live", "b", 5) }),
                    start);
    directory.at(directory.indexOf(*directory.byCookie(Cookie::of(InstanceId(3)))))
            .evidence.silentSince = start;
    auto update = delta(9, 11, {});
    update.evacuations = { evacuation("b", 11) };
    CHECK(directory.apply(update, start).evacuations.size() == 1);
    const auto &pool = directory.poolOf(ServiceId::ofName("live"));
    CHECK(pool.near.size() == 1);
    CHECK(pool.far.empty());
    CHECK(pool.silent.empty());
    auto ended = delta(11, 12, {});
    ended.evacuations = { evacuation("b", 12, false) };
    CHECK(directory.apply(ended, start).evacuations.size() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("live")).far.size() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("live")).silent.size() == 1);
}

TEST_CASE("an older evacuation order does not replace a newer one", "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "b", 3) }), start);
    auto ended = delta(9, 14, {});
    ended.evacuations = { evacuation("b", 14, false) };
    directory.apply(ended, start);
    // Another host's update may have a newer directory revision but an older order.
    auto stale = delta(9, 15, {});
    stale.evacuations = { evacuation("b", 11) };
    CHECK(directory.apply(stale, start).evacuations.empty());
    CHECK_FALSE(directory.evacuations().isEvacuated(ZoneId::ofName("b")));
}

TEST_CASE("an evacuation that is missing from a whole update has ended", "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    auto update = whole(9, { record(1, "live", "b", 3) });
    update.evacuations = { evacuation("b", 8), evacuation("c", 7) };
    directory.apply(update, start);
    CHECK(directory.evacuations().evacuatedCount() == 2);
    auto again = whole(12, { record(1, "live", "b", 3) });
    again.evacuations = { evacuation("c", 7) };
    const auto changes = directory.apply(again, start);
    REQUIRE(changes.evacuations.size() == 1);
    CHECK(changes.evacuations.front().zoneName == "b");
    CHECK_FALSE(changes.evacuations.front().inForce);
    CHECK_FALSE(directory.evacuations().isEvacuated(ZoneId::ofName("b")));
    CHECK(directory.evacuations().isEvacuated(ZoneId::ofName("c")));
}

TEST_CASE("an evacuation that an older copy of the platform lacks ends only if it is not ordered "
          "again",
          "[directory][restore]")
{
    const auto zoneB = ZoneId::ofName("b");
    Directory directory(ZoneId::ofName("a"));
    auto before = whole(30, { record(1, "live", "a", 2), record(2, "live", "b", 3) });
    before.evacuations = { evacuation("b", 29) };
    directory.apply(inEpoch(before, 1), start);
    auto copy = whole(25, { record(1, "live", "a", 2), record(2, "live", "b", 3) });
    copy.removalsDeferredFor = 2s;
    CHECK(directory.apply(inEpoch(copy, 2), start).evacuations.empty());
    CHECK(directory.evacuations().isEvacuated(zoneB));
    SECTION("it is ordered again")
    {
        auto again = delta(25, 26, {});
        again.evacuations = { evacuation("b", 26) };
        directory.apply(inEpoch(again, 2), start + 1s);
        CHECK(directory.processRemovals(start + 3s).evacuations.empty());
        CHECK(directory.evacuations().isEvacuated(zoneB));
    }
    SECTION("it is not")
    {
        CHECK(directory.processRemovals(start + 3s).evacuations.size() == 1);
        CHECK_FALSE(directory.evacuations().isEvacuated(zoneB));
        CHECK(directory.poolOf(ServiceId::ofName("live")).far.size() == 1);
    }
    SECTION("another host that gets it ends it, too")
    {
        Directory other(ZoneId::ofName("a"));
        auto sent = directory.updateSince(Revision(), start + 1s);
        sent.removalsDeferredFor = 1s;
        other.apply(sent, start + 1s);
        CHECK(other.evacuations().isEvacuated(zoneB));
        CHECK(other.processRemovals(start + 3s).evacuations.size() == 1);
    }
}

TEST_CASE("an update for another host has the evacuations that began or ended since its revision",
          "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "b", 3) }), start);
    auto update = delta(9, 12, {});
    update.evacuations = { evacuation("b", 11), evacuation("c", 12) };
    directory.apply(update, start);
    auto ended = delta(12, 13, {});
    ended.evacuations = { evacuation("c", 13, false) };
    directory.apply(ended, start);
    CHECK(directory.updateSince({ 9 }, start).evacuations.size() == 2);
    CHECK(directory.updateSince({ 12 }, start).evacuations.size() == 1);
    CHECK(directory.updateSince({ 13 }, start).evacuations.empty());
    const auto all = directory.updateSince(Revision(), start);
    REQUIRE(all.evacuations.size() == 1);
    CHECK(all.evacuations.front().zoneName == "b");
}

TEST_CASE("many evacuation orders for zones without upstreams do not displace the order for a zone "
          "with upstreams",
          "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "b", 3) }), start);
    auto update = delta(9, 20000, {});
    for (std::uint64_t i = 0; i < 10000; ++i) {
        update.evacuations.push_back(evacuation("nowhere-" + std::to_string(i), 10 + i));
    }
    update.evacuations.push_back(evacuation("b", 15000));
    directory.apply(update, start);
    CHECK(directory.evacuations().isEvacuated(ZoneId::ofName("b")));
    CHECK(directory.evacuations().all().size() < 1000);
    CHECK(directory.poolOf(ServiceId::ofName("live")).far.empty());
}

TEST_CASE("a tombstone is deleted after its time, and its slot is reused", "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3) }), start);
    directory.apply(whole(12, {}), start);
    directory.processRemovals(start + config::tombstoneTime);
    CHECK(directory.byCookie(Cookie::of(InstanceId(1))) == nullptr);
    directory.apply(delta(12, 14, { record(7, "live", "a", 13) }), start + 100s);
    CHECK(directory.entries().size() == 1);
    // A host whose revision is older than the deleted tombstone gets the whole directory.
    CHECK(directory.updateSince({ 10 }, start).isWhole());
    CHECK_FALSE(directory.updateSince({ 12 }, start).isWhole());
}

TEST_CASE("updates applied twice and in any order give the same state", "[directory]")
{
    // Each step changes one of six upstreams; an update contains consecutive steps.
    constexpr std::uint64_t steps = 60;
    constexpr int rounds = 200;
    std::mt19937_64 random(7);
    std::vector<DirectoryUpdate> all;
    Directory expected(ZoneId::ofName("a"));
    expected.apply(whole(1, {}), start);
    for (std::uint64_t step = 2; step <= steps; ++step) {
        auto update = delta(step - 1, step, {});
        const auto instance = 1 + random() % 6;
        if (random() % 4 == 0) {
            update.removed = { { InstanceId(instance), { step } } };
        } else {
            update.present = { record(instance, "live", "a", step) };
            update.present[0].upstream.state =
                    random() % 2 == 0 ? UpstreamState::Active : UpstreamState::Draining;
        }
        expected.apply(update, start);
        all.push_back(update);
    }
    for (int round = 0; round < rounds; ++round) {
        Directory directory(ZoneId::ofName("a"));
        directory.apply(whole(1, {}), start);
        Revision last = directory.revision();
        while (directory.revision().number < steps) {
            const auto begin = random() % all.size();
            const auto end = std::min(all.size(), begin + 1 + random() % 20);
            DirectoryUpdate merged;
            merged.after = all[begin].after;
            Directory source(ZoneId::ofName("a"));
            source.apply(whole(1, {}), start);
            for (std::size_t i = 0; i < end; ++i) {
                source.apply(all[i], start);
            }
            merged = source.updateSince(all[begin].after, start);
            if (directory.canApply(merged)) {
                directory.apply(merged, start);
                directory.apply(merged, start);
            }
            REQUIRE_FALSE(directory.revision() < last);
            last = directory.revision();
        }
        REQUIRE(presentEntries(directory) == presentEntries(expected));
    }
}

TEST_CASE("of two upstreams with the same cookie, the older one owns it on every host",
          "[directory]")
{
    // The halves of both instance numbers combine to the same 32-bit cookie.
    const auto older = record(0x0000000100000002, "live", "a", 3);
    const auto younger = record(0x0000000200000001, "live", "a", 5);
    REQUIRE(Cookie::of(older.upstream.instance) == Cookie::of(younger.upstream.instance));
    Directory one(ZoneId::ofName("a"));
    one.apply(whole(4, { older }), start);
    const auto changes = one.apply(delta(4, 6, { younger }), start);
    CHECK(changes.sharedCookie.size() == 1);
    Directory other(ZoneId::ofName("a"));
    other.apply(whole(6, { younger, older }), start);
    for (auto *directory : { &one, &other }) {
        const auto *owner = directory->byCookie(Cookie::of(older.upstream.instance));
        REQUIRE(owner != nullptr);
        CHECK(owner->record.upstream.instance == older.upstream.instance);
        CHECK(directory->poolOf(ServiceId::ofName("live")).near.size() == 1);
    }
    one.apply(whole(9, { younger }), start);
    one.processRemovals(start + config::tombstoneTime);
    one.invalidatePools();
    CHECK(one.byCookie(Cookie::of(younger.upstream.instance)) != nullptr);
    CHECK(one.poolOf(ServiceId::ofName("live")).near.size() == 1);
}

TEST_CASE("newer rows replace older ones, and older rows never replace newer ones", "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    auto first = whole(5, {});
    first.rows = packetRows(5, { packetRow("feed", feedAddress, "live") });
    CHECK(directory.apply(first, start).rowsChanged);
    auto second = delta(5, 7, {});
    second.rows = packetRows(7, { packetRow("feed", feedAddress, "other") });
    CHECK(directory.apply(second, start).rowsChanged);
    auto stale = delta(5, 9, {});
    stale.rows = packetRows(5, { packetRow("feed", feedAddress, "live") });
    CHECK_FALSE(directory.apply(stale, start).rowsChanged);
    const auto *row = directory.rowAt(feedAddress);
    REQUIRE(row != nullptr);
    CHECK(row->row->shares[0].serviceName == "other");
    // The row keeps its former service: flows that were opened there stay there.
    CHECK(row->servicesEverHad.size() == 2);
    CHECK(directory.rowAt(papersAddress) == nullptr);
}

TEST_CASE("a whole update of a later epoch is applied although its revision is lower",
          "[directory][restore]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(inEpoch(whole(30, { record(1, "live", "a", 20) }), 1), start);
    auto copy = inEpoch(whole(25, { record(1, "live", "a", 20), record(2, "live", "a", 25) }), 2);
    REQUIRE(directory.beginsEpoch(copy));
    CHECK(directory.apply(copy, start).advanced);
    CHECK(directory.revision() == Revision { 25, 2 });
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 2);

    // Revisions that were given out before are given out again.
    auto draining = record(1, "live", "a", 28);
    draining.upstream.state = UpstreamState::Draining;
    const auto next = inEpoch(delta(25, 28, { draining }), 2);
    REQUIRE(directory.canApply(next));
    CHECK(directory.apply(next, start).leaving.size() == 1);
    CHECK_FALSE(directory.apply(inEpoch(whole(31, {}), 1), start).advanced);
    CHECK_FALSE(directory.canApply(inEpoch(delta(28, 29, {}), 3)));
}

TEST_CASE("an older copy of the platform takes back no drain and no newer rows",
          "[directory][restore]")
{
    Directory directory(ZoneId::ofName("a"));
    auto draining = record(1, "live", "a", 30);
    draining.upstream.state = UpstreamState::Draining;
    auto before = whole(30, { draining, record(2, "live", "a", 3) });
    before.rows = bothRows(29);
    directory.apply(inEpoch(before, 1), start);
    auto copy = whole(25, { record(1, "live", "a", 2), record(2, "live", "a", 3) });
    copy.rows = bothRows(20);
    const auto changes = directory.apply(inEpoch(copy, 2), start);
    CHECK_FALSE(changes.rowsChanged);
    CHECK(directory.rows()->version == 29);
    REQUIRE(directory.rowAt(feedAddress) != nullptr);
    CHECK(directory.rowAt(feedAddress)->row->name == "feed");
    REQUIRE(directory.poolOf(ServiceId::ofName("live")).near.size() == 1);

    SECTION("rows in between do not take it back either")
    {
        auto between = delta(25, 26, {});
        between.rows = packetRows(26, {});
        CHECK_FALSE(directory.apply(inEpoch(between, 2), start).rowsChanged);
    }
    SECTION("other hosts of the epoch get the newer rows")
    {
        const auto changesSince = directory.updateSince({ 24, 2 }, start);
        REQUIRE(changesSince.rows != nullptr);
        CHECK(changesSince.rows->version == 29);
    }
    SECTION("a new process of the drained upstream is active")
    {
        auto restarted = record(1, "live", "a", 26);
        restarted.upstream.startedAt = WallTime(5s);
        directory.apply(inEpoch(delta(25, 26, { restarted }), 2), start);
        CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 2);
    }
}

TEST_CASE("an upstream that an older copy lacks stays in use until the deferral of removals ends",
          "[directory][restore]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(
            inEpoch(whole(30, { record(1, "live", "a", 2), record(2, "live", "a", 28) }), 1),
            start);
    auto copy = whole(25, { record(1, "live", "a", 2) });
    copy.removalsDeferredFor = 2s;
    CHECK(directory.apply(inEpoch(copy, 2), start).missing.size() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 2);
    SECTION("it writes its record again")
    {
        directory.apply(inEpoch(delta(25, 26, { record(2, "live", "a", 26) }), 2), start + 1s);
        CHECK(directory.processRemovals(start + 3s).removed.empty());
    }
    SECTION("it does not")
    {
        CHECK(directory.processRemovals(start + 3s).removed.size() == 1);
    }
}

TEST_CASE("a host of an earlier epoch is sent the whole directory", "[directory][restore]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(inEpoch(whole(30, { record(1, "live", "a", 20) }), 1), start);
    CHECK(directory.hasChangesSince({ 29, 1 }));
    directory.apply(inEpoch(whole(40, { record(1, "live", "a", 20) }), 2), start);
    CHECK_FALSE(directory.hasChangesSince({ 29, 1 }));
    CHECK(directory.updateSince({ 29, 1 }, start).isWhole());
    CHECK(directory.hasChangesSince({ 39, 2 }));
}

TEST_CASE("a restart of an instance clears its evidence and makes it cold", "[directory][born]")
{
    Directory directory(ZoneId::ofName("a"));
    auto first = record(1, "live", "a", 3);
    first.upstream.startedAt = WallTime(1000s);
    directory.apply(whole(9, { first }), start);
    auto &entry = directory.at(0);
    entry.evidence.silentSince = MonoTime(std::chrono::seconds(1));
    entry.evidence.unanswered = 7;
    entry.evidence.lastHeardAt = start;
    directory.requests().beginRequest(entry);
    directory.invalidatePools();
    REQUIRE(directory.poolOf(ServiceId::ofName("live")).silent.size() == 1);

    auto second = record(1, "live", "a", 11);
    second.created = first.created;
    second.upstream.startedAt = WallTime(1005s);
    second.upstream.warmup = 2s;
    const auto changes = directory.apply(delta(9, 11, { second }), start + 5s);
    REQUIRE(changes.restarted.size() == 1);
    CHECK(changes.listed.empty());
    CHECK(entry.evidence.pending == 0);
    CHECK(entry.evidence.unanswered == 0);
    CHECK(entry.evidence.lastHeardAt == MonoTime());
    CHECK(entry.warmAt == start + 7s);
    const auto &pool = directory.poolOf(ServiceId::ofName("live"));
    CHECK(pool.near.size() == 1);
    CHECK(pool.nearBusy == 0);
    // Late updates, one with the record of the first start and a whole one, cause no restart.
    CHECK(directory.apply(delta(9, 12, { first }), start + 6s).restarted.empty());
    CHECK(directory.apply(whole(13, { second, record(2, "live", "a", 12) }), start + 6s)
                  .restarted.empty());
    CHECK(entry.record.upstream.startedAt == WallTime(1005s));
    CHECK(entry.restarts == 1);
}

TEST_CASE("a start after the removal of the entry also counts as a restart", "[directory][born]")
{
    Directory directory(ZoneId::ofName("a"));
    auto first = record(1, "live", "a", 3);
    first.upstream.startedAt = WallTime(1000s);
    directory.apply(whole(9, { first }), start);
    auto gone = delta(9, 10, {});
    gone.removed = { { InstanceId(1), { 10 } } };
    directory.apply(gone, start + 1s);
    REQUIRE(directory.at(0).presence == Presence::Removed);
    auto second = record(1, "papers", "a", 11);
    second.upstream.startedAt = WallTime(1005s);
    const auto changes = directory.apply(delta(10, 11, { second }), start + 2s);
    CHECK(changes.restarted.size() == 1);
    CHECK(changes.listed.size() == 1);
    // After a restart, an instance may belong to another service.
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.empty());
    CHECK(directory.poolOf(ServiceId::ofName("papers")).near.size() == 1);
}

TEST_CASE("a record without a start time does not count as a restart", "[directory][born]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3) }), start);
    directory.at(0).evidence.lastHeardAt = start;
    auto draining = record(1, "live", "a", 11);
    draining.upstream.state = UpstreamState::Draining;
    CHECK(directory.apply(delta(9, 11, { draining }), start).restarted.empty());
    CHECK(directory.at(0).evidence.lastHeardAt == start);
}

TEST_CASE("an upstream with a faulty entry gets no new flows until a valid entry replaces it",
          "[directory][faulty]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3), record(2, "live", "a", 4) }), start);
    auto update = delta(9, 11, {});
    update.faulty = { { InstanceId(1), { 11 } }, { InstanceId(77), { 10 } } };
    CHECK(directory.apply(update, start).faulty.size() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 1);
    // Its open flows continue, since it was not removed.
    REQUIRE(directory.byCookie(Cookie::of(InstanceId(1))) != nullptr);
    CHECK(directory.byCookie(Cookie::of(InstanceId(1)))->presence == Presence::Listed);
    // The same fault in a whole update, which lacks the valid record.
    auto all = whole(12, { record(2, "live", "a", 4) });
    all.faulty = { { InstanceId(1), { 11 } } };
    const auto changes = directory.apply(all, start);
    CHECK(changes.faulty.empty());
    CHECK(changes.removed.empty());
    // An update for a host without a directory contains both the record and its fault.
    Directory other(ZoneId::ofName("a"));
    other.apply(directory.updateSince({}, start), start);
    CHECK(other.poolOf(ServiceId::ofName("live")).near.size() == 1);
    CHECK(other.byCookie(Cookie::of(InstanceId(1))) != nullptr);
    // A late record from before the fault changes nothing; the next valid record does.
    directory.apply(delta(9, 13, { record(1, "live", "a", 3) }), start);
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 1);
    directory.apply(delta(13, 14, { record(1, "live", "a", 14) }), start);
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 2);
}

TEST_CASE("a record with a conflicting name or service counts as a faulty entry",
          "[directory][faulty]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3), record(2, "live", "a", 4) }), start);
    // Without a restart an upstream changes neither its service nor its name.
    CHECK(directory.apply(delta(9, 11, { record(1, "nowhere", "a", 11) }), start).faulty.size()
          == 1);
    auto conflicting = record(2, "live", "a", 12);
    conflicting.upstream.name = "other-2";
    CHECK(directory.apply(delta(11, 12, { conflicting }), start).faulty.size() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.empty());
    CHECK(directory.byCookie(Cookie::of(InstanceId(1)))->record.upstream.serviceName == "live");
}

TEST_CASE("a removed upstream keeps its open flows as long as it answers, and gets no new flows",
          "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3), record(2, "live", "a", 4) }), start);
    directory.at(0).evidence.lastHeardAt = start;
    auto update = delta(9, 12, {});
    update.removed = { { InstanceId(1), { 10 } }, { InstanceId(2), { 11 } } };
    const auto changes = directory.apply(update, start + 100ms);
    CHECK(changes.missing.size() == 1);
    CHECK(changes.removed.size() == 1);
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.empty());
    // The first upstream answers for another 3 s.
    directory.at(0).evidence.lastHeardAt = start + 3s;
    CHECK(directory.processRemovals(start + 100ms + config::reappearTime).removed.empty());
    const auto validity = Directory::signOfLifeValidityFor(config::upstreamHeartbeat);
    CHECK(validity == 2s);
    CHECK(directory.processRemovals(start + 3s + validity - 1ms).removed.empty());
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.empty());
    CHECK(directory.processRemovals(start + 3s + validity).removed.size() == 1);
}

TEST_CASE("the time for which a sign of life contests a removal follows from the heartbeat",
          "[directory]")
{
    // A lease lasts three heartbeats. With a heartbeat of 2 s, an upstream that was cut off from
    // the platform may have answered a caller 3 s before its lease lapses.
    const auto heartbeat = 2s;
    for (const auto age : { 3s, 4s }) {
        Directory directory(ZoneId::ofName("a"), true, heartbeat);
        directory.apply(whole(9, { record(1, "live", "a", 3) }), start);
        directory.at(0).evidence.lastHeardAt = start;
        auto update = delta(9, 12, {});
        update.removed = { { InstanceId(1), { 10 } } };
        directory.apply(update, start + age);
        // An upstream that died is silent for two heartbeats when its lease lapses.
        const auto mayHaveDied = age >= 2 * heartbeat;
        CHECK((directory.at(0).presence == Presence::Removed) == mayHaveDied);
    }
}

TEST_CASE("the time that an upstream has to register again follows from the heartbeat",
          "[directory][restore]")
{
    const auto zone = ZoneId::ofName("a");
    CHECK(Directory(zone, true, 1200ms).reappearTime() == 2200ms);
    CHECK(Directory(zone, true, 500ms).reappearTime() == 2200ms);
    CHECK(Directory(zone, true, 6s).reappearTime() == 11s);
}

TEST_CASE("a removed upstream that still answers gets new flows again once it registers",
          "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    directory.apply(whole(9, { record(1, "live", "a", 3) }), start);
    directory.at(0).evidence.lastHeardAt = start;
    auto update = delta(9, 10, {});
    update.removed = { { InstanceId(1), { 10 } } };
    directory.apply(update, start);
    REQUIRE(directory.poolOf(ServiceId::ofName("live")).near.empty());
    directory.apply(delta(10, 11, { record(1, "live", "a", 11) }), start + 1s);
    CHECK(directory.poolOf(ServiceId::ofName("live")).near.size() == 1);
    CHECK(directory.processRemovals(start + 10s).removed.empty());
}

TEST_CASE("a draining upstream is removed at once, even if it answered recently", "[directory]")
{
    Directory directory(ZoneId::ofName("a"));
    auto leaving = record(1, "live", "a", 3);
    leaving.upstream.state = UpstreamState::Draining;
    directory.apply(whole(9, { leaving }), start);
    directory.at(0).evidence.lastHeardAt = start;
    auto update = delta(9, 10, {});
    update.removed = { { InstanceId(1), { 10 } } };
    CHECK(directory.apply(update, start).removed.size() == 1);
}

} // namespace flamingograde
