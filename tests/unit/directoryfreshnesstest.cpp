/// Tests that a host does not act on a directory that may be outdated.
#include "exampleday.h"
#include "packetboard.h"

#include "core/directory/directorycall.h"
#include "core/directory/directoryfreshness.h"
#include "core/membership/messageclock.h"
#include "emulator/emulation.h"

#include <flamingograde/balancer.h>
#include <flamingograde/config.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

const Address newAddress { 0xc6120009, 8443 };

/// Returns the whole directory: both rows and two upstreams at revision 10.
auto wholeDirectory() -> DirectoryUpdate
{
    DirectoryUpdate whole;
    whole.upTo = { 10 };
    whole.rows = bothRows(1);
    whole.present = { record(1, "live", "a", 2), record(2, "live", "a", 3) };
    return whole;
}

/// Returns the change that adds a row at `newAddress` at revision 12.
auto addedRow() -> DirectoryUpdate
{
    DirectoryUpdate change;
    change.after = { 10 };
    change.upTo = { 12 };
    change.rows = packetRows(12, { packetRow("feed", feedAddress, "live"),
                                   packetRow("papers", papersAddress, "papers"),
                                   packetRow("new", newAddress, "live") });
    return change;
}

/// A host that has just started, as its process sees it.
class StartingHost
{
public:
    StartingHost() : balancer(settings()) { this->handle(Tick {}); }

    auto handle(Event event) -> void
    {
        for (const auto &action : this->balancer.handle(this->now, std::move(event))) {
            if (const auto *read = std::get_if<ReadDirectory>(&action)) {
                this->lastRead = *read;
            }
        }
    }

    /// Passes time in ticks until the host reads the directory. @returns whether it did within
    /// `longest`.
    auto runUntilRead(Duration longest) -> bool
    {
        this->lastRead.reset();
        for (const auto end = this->now.mono + longest; this->now.mono < end && !this->lastRead;) {
            this->run(config::tickPeriod);
        }
        return this->lastRead.has_value();
    }

    auto run(Duration duration) -> void
    {
        for (const auto end = this->now.mono + duration; this->now.mono < end;) {
            this->now.mono += config::tickPeriod;
            this->handle(Tick {});
        }
    }

    /// Suspends the process.
    auto pause(Duration duration) -> void
    {
        this->now.mono += duration;
        this->handle(Tick {});
    }

    auto steer(const PacketHead &head) -> PacketDecision
    {
        std::vector<PacketDecision> decisions;
        this->balancer.steer(this->now, { head }, decisions);
        return decisions.front();
    }

    Balancer balancer;
    Now now { MonoTime(100s), WallTime(1000s) };
    std::optional<ReadDirectory> lastRead; ///< The last read that the host started.

private:
    static auto settings() -> Init
    {
        auto init = directoryHostSettings();
        init.flowsTracked = 1024;
        return init;
    }
};

} // namespace

// Guards against a restarted host that reports ready with rows from seconds ago and resets the open
// flows that it gets back.
TEST_CASE(
        "a host that starts with an old copy of the directory is ready and answers as current only "
        "when it has read the changes since",
        "[freshness]")
{
    StartingHost host;
    REQUIRE(host.lastRead);
    REQUIRE(host.lastRead->mayBeStale);
    host.handle(DirectoryRead { wholeDirectory(), true });
    const auto ofOpenFlow = PacketBoard::following(7, Cookie::of(InstanceId(1)), newAddress);
    CHECK_FALSE(host.balancer.isServing());
    CHECK(host.steer(ofOpenFlow).verdict == PacketVerdict::Drop);
    CHECK(host.steer(PacketBoard::opening(8, newAddress, 0)).verdict == PacketVerdict::Drop);
    const auto ofKnownRow = PacketBoard::following(7, Cookie::of(InstanceId(1)), feedAddress);
    CHECK(host.steer(ofKnownRow).verdict == PacketVerdict::Forward);

    REQUIRE(host.runUntilRead(500ms));
    CHECK(host.lastRead->after == Revision { 10 });
    CHECK_FALSE(host.lastRead->mayBeStale);
    CHECK(host.lastRead->wait == Duration(0));
    CHECK_FALSE(host.balancer.isServing());
    host.handle(DirectoryRead { addedRow(), false });
    CHECK(host.balancer.isServing());
    CHECK(host.steer(ofOpenFlow).verdict == PacketVerdict::Forward);
}

namespace {

using emulator::Emulation;

constexpr std::size_t restartRounds = 3;

/// Publishes one more row, to which the callers of all zones open flows a little later.
/// Precondition: the plan's rows have capacity for it, as callers refer to them.
auto addRow(Emulation &emulation) -> void
{
    auto &rows = emulation.plan.rows;
    auto row = rows.front();
    row.load.address.ip += static_cast<std::uint32_t>(rows.size()) + 16;
    row.load.name = "added-" + std::to_string(rows.size());
    row.load.longFlows = true;
    rows.push_back(row);
    emulation.publish();
    emulation.clock().later(1s, [&emulation, added = &rows.back()] {
        for (const auto &zone : emulation.plan.zones) {
            emulation.callers().begin(zone.name, 5, { &added->load });
        }
    });
}

} // namespace

// Guards against the same fault as seen by callers: flows on rows that were just added are reset.
TEST_CASE("no open flow is reset when all hosts are restarted in turn while rows are added and the "
          "store answers with old copies",
          "[freshness][emulation]")
{
    const auto seed = GENERATE(range(1, 5));
    INFO("seed " << seed);
    auto day = emulator::loadDay("calm");
    day.troubles.clear();
    day.seed = static_cast<std::uint64_t>(seed);
    day.staleBy = 3s;
    Emulation emulation(std::move(day));
    emulation.plan.rows.reserve(emulation.plan.rows.size() + restartRounds * 7);
    emulation.begin();
    emulation.beginLoad();
    for (std::size_t round = 0; round < restartRounds; ++round) {
        for (std::size_t i = 0; i < emulation.hostCount(); ++i) {
            addRow(emulation);
            emulation.host(i).stop(true);
            emulation.run(4s);
        }
    }
    const auto result = emulation.result();
    for (const auto &[reason, count] : result.brokenBy) {
        UNSCOPED_INFO(count << " open flows reset, reason: " << reason);
    }
    CHECK(result.brokenFlows == 0);
    CHECK(result.all.asked > 10000);
    CHECK(result.all.share() > 0.99);
}

TEST_CASE("a directory counts as current in time while neither the platform nor a host confirms it",
          "[freshness]")
{
    StartingHost host;
    host.handle(DirectoryRead { wholeDirectory(), true });
    REQUIRE(host.runUntilRead(500ms));
    host.handle(DirectoryReadFailed { DirectoryFailure::Unreachable, "no answer" });
    host.run(config::directoryConfirmWait);
    CHECK(host.balancer.isServing());
    // Other hosts may have got to know the row meanwhile.
    const auto ofOpenFlow = PacketBoard::following(7, Cookie::of(InstanceId(1)), newAddress);
    CHECK(host.steer(ofOpenFlow).verdict == PacketVerdict::Drop);
}

// Guards against a host that was suspended and goes on as if its directory were current.
TEST_CASE("a host that was paused is ready again when it has read the changes since", "[freshness]")
{
    StartingHost host;
    host.handle(DirectoryRead { wholeDirectory(), false });
    REQUIRE(host.balancer.isServing());
    host.run(config::directoryStartGrace);
    host.pause(4s);
    CHECK_FALSE(host.balancer.isServing());
    // An answer that waited unread shows nothing.
    DirectoryUpdate unchanged;
    unchanged.after = { 10 };
    unchanged.upTo = { 10 };
    host.handle(DirectoryRead { unchanged, false });
    CHECK_FALSE(host.balancer.isServing());
    REQUIRE(host.runUntilRead(200ms));
    host.handle(DirectoryRead { addedRow(), false });
    CHECK(host.balancer.isServing());
}

TEST_CASE("a host's report shows that the directory is current once this host has the same changes",
          "[freshness]")
{
    const MonoTime start(100s);
    DirectoryFreshness freshness;
    freshness.begin(start, start - config::directoryAgeLimit);
    freshness.noteHost({ 12 }, start);
    freshness.advance({ 11 });
    CHECK_FALSE(freshness.isConfirmed());
    freshness.advance({ 12 });
    CHECK(freshness.isConfirmed());

    SECTION("not if that host has not heard the platform for long")
    {
        const auto resumed = start + 60s;
        freshness.begin(resumed, resumed - config::directoryAgeLimit);
        freshness.noteHost({ 12 }, resumed - config::directoryAgeLimit - 1ms);
        freshness.advance({ 12 });
        CHECK_FALSE(freshness.isConfirmed());
        CHECK(freshness.asOf() == resumed - config::directoryAgeLimit - 1ms);
    }
    SECTION("not after a pause, if the report was made before it and has waited unread")
    {
        const auto resumed = start + 60s;
        freshness.begin(resumed, resumed);
        freshness.noteHost({ 12 }, resumed - 1ms);
        freshness.advance({ 12 });
        CHECK_FALSE(freshness.isConfirmed());
        freshness.noteRead(resumed - 1ms);
        CHECK_FALSE(freshness.isConfirmed());
        freshness.noteRead(resumed + 1ms);
        CHECK(freshness.isConfirmed());
    }
}

namespace {

/// Returns the answer to a read of the changes after revision 10: none, or those up to `upTo`.
auto changesUpTo(std::uint64_t upTo) -> DirectoryRead
{
    DirectoryRead read;
    read.update.after = { 10 };
    read.update.upTo = { upTo };
    return read;
}

} // namespace

// Guards against an answer that was held up on the way and counts as recent when it arrives.
TEST_CASE("an answer of the platform is dated by its question, not by its arrival", "[freshness]")
{
    const MonoTime asked(100s);
    const auto arrived = asked + 2s;
    DirectoryCall call;
    ReadDirectory watch;
    watch.after = { 10 };
    watch.wait = 1500ms;
    call.begin(watch, asked);
    CHECK(call.completeUntil(changesUpTo(12), arrived) == asked);
    // The platform holds a watch without changes for the whole wait.
    CHECK(call.completeUntil(changesUpTo(10), arrived) == asked + watch.wait);
    CHECK(call.completeUntil(changesUpTo(10), asked + 1s) == asked);

    // Pages of a read that failed are used by the next one.
    call.begin({}, asked);
    call.begin({}, arrived);
    CHECK(call.completeUntil({ wholeDirectory(), false }, arrived + 1s) == asked);
    CHECK_FALSE(call.completeUntil({ wholeDirectory(), true }, arrived + 1s));
}

// Guards against a host's word that waited on a cut link, or unread, and counts as recent.
TEST_CASE("a host's message is dated by this host's clock that it repeats", "[freshness]")
{
    PacketBoard host;
    auto &board = host.board;
    board.membership.startedAt = board.now.mono;
    const auto asked = board.now.mono + 1s;
    board.now.mono = asked;
    const auto sent = clockToSend(board);
    Gossip answer;
    CHECK_FALSE(madeNotBefore(board, Ping { 0, answer }));
    answer.echoMs = sent;
    board.now.mono += 5s;
    CHECK(madeNotBefore(board, Ping { 0, answer }) == asked);
    // Hosts of older versions repeat the clock in the answer to a ping only.
    CHECK(madeNotBefore(board, Ack { sent, {} }) == asked);

    SECTION("with the time for which its sender has held the clock")
    {
        LinkRecord link;
        Gossip question;
        question.clockMs = 777;
        noteClock(board, link, question);
        board.now.mono += 40ms;
        CHECK(clockToEcho(board, link) == 817);
    }
    SECTION("not by a clock of before the start, or one that it cannot show yet")
    {
        answer.echoMs = sent - 2000;
        CHECK_FALSE(madeNotBefore(board, Ping { 0, answer }));
        answer.echoMs = sent + 6000;
        CHECK_FALSE(madeNotBefore(board, Ping { 0, answer }));
    }
}
