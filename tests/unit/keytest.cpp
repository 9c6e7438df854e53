/// Idempotency keys at their home: each key is run at most once, and the state or verdict reported
/// for it is true.
#include "cellhome.h"
#include "core/keys/keyfreshness.h"

#include <catch2/catch.hpp>

using namespace flamingograde;

namespace {

/// A home with one non-idempotent row and an upstream with more slots than the tests need.
struct KeyHome : CellHome
{
    Row row;

    explicit KeyHome(Duration tenure = 1h)
    {
        auto &added = this->addRow("votes");
        added.idempotent = false;
        added.deadline = 30s;
        this->row = added;
        this->addUpstream("a", 20);
        this->beginTenure(tenure);
        this->publish();
    }

    /// Returns the state that the home has recorded for the key `text`.
    auto stateOfKey(const std::string &text) const -> KeyState
    {
        return this->board.keys.stateOf(this->cell, text);
    }

    auto isUnknown(ExchangeId exchange) const -> bool
    {
        return this->isRefused(exchange, RefusalReason::KeyUnknown, Verdict::Unknown);
    }

    /// Delivers the former home's report on the last lookup: `state`, in a tenure that
    /// began `tenureAge` ago.
    auto deliverReport(KeyState state, Duration tenureAge) -> void
    {
        const auto &lookup = std::get<KeyLookup>(this->messages.back().message);
        const auto since = this->board.now.wall - tenureAge;
        this->run(PeerMessage { this->former, KeyReport { lookup.sequence, state,
                                                          since.time_since_epoch().count() } });
    }
};

} // namespace

TEST_CASE("a repeat waits for the running request and is answered when that ends")
{
    KeyHome home;
    const auto key = home.keyBorn(10ms);
    const auto first = home.arrive(home.row, key);
    const auto repeat = home.arrive(home.row, key);
    REQUIRE(home.isSent(first));
    CHECK(home.sent.at(first).freshConnection);
    CHECK(home.sent.at(first).keepAnswer);
    CHECK(home.stateOfKey(key) == KeyState::Running);
    const auto *whole = GENERATE("whole", "");
    home.answer(first, whole);
    const auto later = home.arrive(home.row, key);
    for (const auto id : { repeat, later }) {
        if (*whole != 0) {
            CHECK(*home.replayed.at(id) == whole);
        } else {
            CHECK(home.isRefused(id, RefusalReason::KeyUnknown, Verdict::Run));
        }
    }
    CHECK(home.order.size() == 1);
    CHECK(home.board.exchanges.size() == 0);
}

TEST_CASE("a repeat is run after the first request was provably not run")
{
    KeyHome home;
    const auto key = home.keyBorn(10ms);
    const auto first = home.arrive(home.row, key);
    const auto repeat = home.arrive(home.row, key);
    home.board.retryBudget = RetryBudget();
    while (home.board.retryBudget.spend()) {
    }
    if (GENERATE(true, false)) {
        home.head(first, 503, true, 0s);
    } else {
        home.report(first, Progress::NotSent);
    }
    CHECK(home.refused.at(first).verdict == Verdict::NotRun);
    REQUIRE(home.isSent(repeat)); // The repeat is run instead.
    home.answer(repeat, "whole");
    CHECK(home.stateOfKey(key) == KeyState::Done);
}

TEST_CASE("a key whose request was lost, cut or timed out is not run again")
{
    KeyHome home;
    const auto key = home.keyBorn(10ms);
    const auto first = home.arrive(home.row, key);
    const auto repeat = home.arrive(home.row, key);
    SECTION("no answer arrived")
    {
        home.report(first, Progress::Lost);
    }
    SECTION("the answer was cut off")
    {
        home.head(first, 200);
        home.report(first, Progress::Cut);
    }
    SECTION("the deadline passed")
    {
        home.pass(31s);
        CHECK(home.isRefused(first, RefusalReason::DeadlineUnmet, Verdict::Unknown));
        CHECK(home.refused.at(repeat).verdict == Verdict::Unknown);
    }
    CHECK(home.refused.at(repeat).verdict == Verdict::Unknown);
    CHECK(home.isUnknown(home.arrive(home.row, key)));
    CHECK(home.order.size() == 1);
}

TEST_CASE("a repeat is run when the caller of the queued first request leaves")
{
    KeyHome home;
    home.upstreams[0].slots = 1;
    home.publish();
    const auto running = home.arrive(home.row, home.keyBorn(10ms));
    const auto key = home.keyBorn(10ms);
    const auto first = home.arrive(home.row, key);
    const auto repeat = home.arrive(home.row, key);
    CHECK(home.stateOfKey(key) == KeyState::Unseen);
    home.run(CallerLeft { first });
    home.answer(running);
    CHECK(!home.isSent(first));
    CHECK(home.isSent(repeat));
}

TEST_CASE("a request with a key goes on running after its caller leaves")
{
    KeyHome home;
    const auto key = home.keyBorn(10ms);
    const auto first = home.arrive(home.row, key);
    home.run(CallerLeft { first });
    const auto repeat = home.arrive(home.row, key);
    home.answer(first, "whole");
    CHECK(home.replayed.count(repeat) == 1);
}

TEST_CASE("a new home without a former home runs only provably fresh keys")
{
    KeyHome home(3s);
    home.board.tenure.forgetFormer(home.former);
    CHECK(home.isSent(home.arrive(home.row, home.keyBorn(1900ms))));
    CHECK(home.isUnknown(home.arrive(home.row, home.keyBorn(2100ms))));
    CHECK(home.isUnknown(home.arrive(home.row, "no-birth")));
    const auto early = home.arrive(home.row, home.keyBorn(-2s));
    CHECK(home.isRefused(early, RefusalReason::BadKey, Verdict::NotRun));
    const auto id = home.add(home.row, home.keyBorn(2100ms));
    home.board.exchanges.find(id)->hasGeneratedKey = true;
    home.board.toAdmit.push_back(id);
    home.run(Tick {});
    CHECK(home.isSent(id));
}

TEST_CASE("a request with a key waits while its host claims the cell")
{
    KeyHome home;
    home.board.tenure.end(home.cell);
    home.board.tenure.setClaiming(home.cell, true);
    const auto first = home.arrive(home.row, home.keyBorn(10ms));
    const auto second = home.arrive(home.row, home.keyBorn(-500ms));
    home.pass(500ms);
    CHECK(home.order.empty());
    SECTION("the tenure begins")
    {
        home.beginTenure(0s);
        home.run(Tick {});
        // Neither key is provably newer than the tenure, so both are looked up.
        CHECK(home.messages.size() == 2);
    }
    SECTION("another host becomes home")
    {
        home.board.tenure.setClaiming(home.cell, false);
        home.run(Tick {});
        CHECK(home.placed == std::vector<ExchangeId> { first, second });
    }
}

TEST_CASE("a key without a birth time is run when any earlier run is past its lifetime")
{
    KeyHome home(config::keyLifetime + 2s);
    const auto first = home.arrive(home.row, "no-birth");
    REQUIRE(home.isSent(first));
    home.answer(first, "whole");
    CHECK(home.replayed.count(home.arrive(home.row, "no-birth")) == 1);
}

TEST_CASE("the former home's report decides whether a key older than the tenure is run")
{
    KeyHome home(1s);
    const auto key = home.keyBorn(5s);
    const auto asked = home.arrive(home.row, key);
    REQUIRE(home.messages.size() == 1);
    CHECK(home.messages[0].host == home.former);
    CHECK(!home.isSent(asked));
    SECTION("unseen, and the former home's tenure began before the key was made")
    {
        home.deliverReport(KeyState::Unseen, 1h);
        CHECK(home.isSent(asked));
    }
    SECTION("unseen, but the former home's tenure began less than the clock bound before the key")
    {
        home.deliverReport(KeyState::Unseen, 5500ms);
        CHECK(home.isUnknown(asked));
    }
    SECTION("done")
    {
        home.deliverReport(KeyState::Done, 1h);
        CHECK(home.isRefused(asked, RefusalReason::KeyUnknown, Verdict::Run));
        home.arrive(home.row, key);
        CHECK(home.messages.size() == 1); // The reported state was recorded: no second lookup.
    }
    SECTION("running")
    {
        home.deliverReport(KeyState::Running, 1h);
        CHECK(home.isRefused(asked, RefusalReason::KeyRunning, Verdict::Unknown));
    }
    SECTION("no report in time")
    {
        home.pass(config::keyLookupTimeout + 100ms);
        CHECK(home.isUnknown(asked));
    }
    SECTION("the connection to the former home is lost")
    {
        home.run(PeerDown { home.former, PeerLoss::Closed });
        CHECK(home.isUnknown(asked));
    }
}

TEST_CASE("a host reports a key as unseen only once it was home and can no longer run the key")
{
    KeyHome home;
    const auto key = home.keyBorn(10ms);
    home.arrive(home.row, key);
    const auto ask = [&](const std::string &text) {
        home.run(PeerMessage { home.former, KeyLookup { 7, home.cell, text } });
        return std::get<KeyReport>(home.messages.back().message);
    };
    CHECK(ask(key).state == KeyState::Running);
    CHECK(ask("other").state == KeyState::Unknown);
    const auto since = *home.board.tenure.since(home.cell);
    home.board.tenure.end(home.cell);
    CHECK(ask("other").state == KeyState::Unseen);
    CHECK(ask("other").tenureSinceUs == since.time_since_epoch().count());
    home.run(PeerMessage { home.former, KeyLookup { 8, CellId(5), "other" } });
    CHECK(std::get<KeyReport>(home.messages.back().message).state == KeyState::Unknown);
}

TEST_CASE("a key whose record has expired is not run again")
{
    KeyHome home;
    const auto key = home.keyBorn(10ms);
    home.answer(home.arrive(home.row, key), "whole");
    home.pass(config::keyLifetime + 1s);
    CHECK(home.board.keys.size() == 0);
    home.board.tenure.forgetFormer(home.former);
    CHECK(home.isUnknown(home.arrive(home.row, key)));
    CHECK(home.isSent(home.arrive(home.row, home.keyBorn(10ms))));
}

TEST_CASE("the registry limits the number of keys and the bytes of stored answers")
{
    KeyRegistry keys(3, 100);
    const CellId cell(1);
    Now now { MonoTime(1s), WallTime(1000s) };
    for (std::uint64_t i = 1; i <= 10; ++i) {
        const ExchangeId id(i);
        now.wall += 1s;
        keys.reserve({ cell, std::to_string(i) }, id);
        keys.dispatched(id, 1, now);
        keys.finish(id, KeyState::Done, std::make_shared<const std::string>(60, 'x'));
        CHECK(keys.size() <= 3);
        CHECK(keys.answerBytes() <= 100);
    }
    CHECK(keys.stateOf(cell, "10") == KeyState::Done);
    CHECK(keys.stateOf(cell, "7") == KeyState::Unseen);
    CHECK(keys.evictedUntil(cell) == WallTime(1007s));
    CHECK(keys.forgottenUntil(cell) == WallTime(1007s));
}

TEST_CASE(
        "a new home runs keys newer than the former home's knowledge but none that was handed over")
{
    KeyHome home(0s);
    home.board.tenure.forgetFormer(home.former);
    const auto now = home.board.now;
    const auto done = home.keyBorn(500ms);
    const auto lost = home.keyBorn(500ms);
    const auto at = now.wall.time_since_epoch().count();
    home.board.keys.inherit(
            home.cell,
            { { hashName(done), KeyState::Done, at }, { hashName(lost), KeyState::Running, at } },
            now.mono);
    home.board.tenure.begin(home.cell, { now.wall, {}, KnownFrom { now.wall - 3s, {} } });
    CHECK(home.isSent(home.arrive(home.row, home.keyBorn(1900ms))));
    CHECK(home.isUnknown(home.arrive(home.row, home.keyBorn(2100ms))));
    CHECK(home.isRefused(home.arrive(home.row, done), RefusalReason::KeyUnknown, Verdict::Run));
    CHECK(home.isUnknown(home.arrive(home.row, lost)));
    home.pass(config::keyLifetime + 1s); // The inherited keys have expired, but are still not run.
    CHECK(home.isUnknown(home.arrive(home.row, done)));
    CHECK(home.order.size() == 1);
}

TEST_CASE("a key that was handed over is looked up at the former home if that is known")
{
    KeyHome home(0s);
    const auto now = home.board.now;
    const auto key = home.keyBorn(500ms);
    home.board.keys.inherit(
            home.cell, { { hashName(key), KeyState::Done, now.wall.time_since_epoch().count() } },
            now.mono);
    home.board.tenure.begin(home.cell, { now.wall, home.former, KnownFrom { now.wall - 3s, {} } });
    const auto asked = home.arrive(home.row, key);
    REQUIRE(home.messages.size() == 1);
    SECTION("running")
    {
        home.deliverReport(KeyState::Running, 1h);
        CHECK(home.isRefused(asked, RefusalReason::KeyRunning, Verdict::Unknown));
    }
    SECTION("unknown: the handed-over state decides")
    {
        home.deliverReport(KeyState::Unknown, 1h);
        CHECK(home.isRefused(asked, RefusalReason::KeyUnknown, Verdict::Run));
    }
    SECTION("unseen")
    {
        home.deliverReport(KeyState::Unseen, 1h);
        CHECK(home.isSent(asked));
    }
    SECTION("no report in time")
    {
        home.pass(config::keyLookupTimeout + 100ms);
        CHECK(home.isRefused(asked, RefusalReason::KeyUnknown, Verdict::Run));
    }
}

TEST_CASE("a handover has a limited number of keys, and its time tells the newest one left out")
{
    KeyRegistry keys;
    const CellId cell(1);
    Now now { MonoTime(1s), WallTime(1000s) };
    for (std::uint64_t i = 1; i <= 10; ++i) {
        const ExchangeId id(i);
        now.wall += 1s;
        keys.reserve({ i == 9 ? CellId(2) : cell, std::to_string(i) }, id);
        keys.dispatched(id, 1, now);
        if (i != 10) {
            keys.finish(id, KeyState::Done, nullptr);
        }
    }
    auto since = WallTime(900s);
    const auto all = keys.handOver(cell, WallTime(1000s), 100, since);
    CHECK(all.size() == 9);
    CHECK(since == WallTime(900s));
    CHECK(all.front().hash == hashName("10"));
    CHECK(all.front().state == KeyState::Running);
    CHECK(keys.handOver(cell, WallTime(1004s), 100, since).size() == 5);
    CHECK(since == WallTime(1004s)); // Dispatch time of the newest key left out.
    CHECK(keys.handOver(cell, WallTime(1004s), 2, since).size() == 2);
    CHECK(since == WallTime(1007s));

    KeyRegistry next;
    next.inherit(cell, all, now.mono);
    since = WallTime(900s);
    CHECK(next.handOver(cell, WallTime(1004s), 100, since).size() == 5);
    CHECK(since == WallTime(1004s));
    CHECK(next.inherited({ cell, "10" }) == KeyState::Unknown);
    CHECK(next.inherited({ cell, "1" }) == KeyState::Done);
    CHECK_FALSE(next.inherited({ CellId(2), "1" }));
    next.expire(now.mono + config::keyLifetime);
    CHECK_FALSE(next.inherited({ cell, "1" }));
    CHECK(next.forgottenUntil(cell) == WallTime(1010s));
}

TEST_CASE(
        "a home reports knowledge from no earlier than the last table that moved keys to its cell")
{
    KeyHome home;
    const auto now = home.board.now.wall;
    const KnownFrom atBegin { now - 1h, {} };
    const auto reportedSince = [&](const KnownFrom &known) {
        return knownFromNow(home.board, home.cell, known).since;
    };
    CHECK(reportedSince(atBegin) == now - 1h);
    CHECK(knownFromNow(home.board, home.cell, atBegin).coveredRevision
          == home.board.config.revision);
    const auto zones = activeZones(home.board.table());
    auto &placements = home.board.config.placements;
    placements = PlacementHistory(home.board.init.clockBound);
    placements.merge({ { { 5 }, now - 3s, zones, {} } }, now);
    CHECK(reportedSince(atBegin) == PlacementHistory::unknownSince);
    placements.markAgreed(now - 2s);
    // Placements before the oldest table known here may differ, unless the former home knew them.
    CHECK(reportedSince(atBegin) == now - 2s);
    CHECK(reportedSince({ now - 1h, { 4 } }) == now - 2s);
    CHECK(reportedSince({ now - 1h, { 5 } }) == now - 1h);
    placements.merge({ { { 6 }, now - 1s, zones, {} } }, now);
    placements.markAgreed(now - 1s);
    CHECK(reportedSince({ now - 1h, { 5 } }) == now - 1h); // Table 6 moves no key.
    auto other = zones;
    other.front().slots = 7;
    placements.merge({ { { 7 }, now - 600ms, other, {} } }, now);
    CHECK(reportedSince({ now - 1h, { 7 } }) == PlacementHistory::unknownSince);
    placements.markAgreed(now - 500ms);
    CHECK(reportedSince({ now - 1h, { 7 } }) == now - 500ms);
}
