/// Planned changes of home under non-idempotent requests: none is refused `unknown`, none runs
/// twice.
#include "peerfleet.h"
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

#include <random>
#include <utility>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

/// Votes with a key each, sent without pause to a fleet whose hosts come and go.
///
/// Each vote is sent three times through different hosts: at once, after 40 ms and after 700 ms.
class VotedFleet
{
public:
    explicit VotedFleet(const std::map<std::size_t, Duration> &skews = {})
        : fleet({ { "a1", "a" },
                  { "a2", "a" },
                  { "a3", "a" },
                  { "b1", "b" },
                  { "b2", "b" },
                  { "b3", "b" } },
                sampleTable())
    {
        this->fleet.skews = skews;
        this->fleet.settle();
    }

    /// Goes on for `time` with a new vote every 10 ms.
    auto vote(Duration time) -> void
    {
        for (const auto end = this->fleet.now().mono + time; this->fleet.now().mono < end;) {
            const auto key = this->fleet.newKey();
            this->keys.push_back(key);
            this->send(key, this->keys.size());
            this->repeat(4, 1);
            this->repeat(70, 2);
            this->fleet.advance(10ms);
        }
    }

    /// Stops `host` in order, while votes go on.
    auto stop(std::size_t host) -> void
    {
        this->begin(host);
        this->finish(host);
    }
    /// Asks `host` to stop; callers connect elsewhere from now on.
    auto begin(std::size_t host) -> void
    {
        this->away.insert(host);
        this->fleet.give(host, StopRequested {});
    }
    /// Goes on until `host` has stopped.
    auto finish(std::size_t host) -> void
    {
        while (this->fleet.stopped.count(host) == 0) {
            this->vote(50ms);
        }
        CHECK(this->fleet.stopped.at(host).empty());
        this->fleet.kill(host);
    }
    auto kill(std::size_t host) -> void
    {
        this->away.insert(host);
        this->killed.insert(host);
        this->fleet.kill(host);
    }
    auto start(std::size_t host) -> void
    {
        this->away.erase(host);
        this->fleet.restart(host);
    }

    /// Checks what came of every vote. @returns how many answers were `unknown`.
    auto judge() -> std::size_t
    {
        this->vote(1s);
        this->fleet.advance(8s);
        std::size_t unknown = 0;
        std::size_t unrun = 0;
        for (const auto &[key, ids] : this->sent) {
            const auto runs = this->fleet.runsOf(key);
            CHECK(runs <= 1);
            unrun += runs == 0 ? 1 : 0;
            for (const auto id : ids) {
                const auto end = this->fleet.result(id);
                const auto verdict = end.refusal ? end.refusal->verdict : Verdict::Run;
                unknown += verdict == Verdict::Unknown ? 1 : 0;
                CHECK((!end.answered || runs == 1));
                if (this->killed.empty()) {
                    CHECK(end.ends == 1);
                }
            }
        }
        UNSCOPED_INFO(this->sent.size()
                      << " votes, " << this->fleet.runs.size() << " runs, " << unrun
                      << " votes not run, " << unknown << " answers unknown");
        return unknown;
    }

    VirtualFleet fleet;

private:
    auto send(const std::string &key, std::size_t seed) -> void
    {
        auto host = seed % 6;
        while (this->away.count(host) != 0) {
            host = (host + 1) % 6;
        }
        this->sent[key].push_back(this->fleet.call(host, voteAddress, {}, key));
    }
    auto repeat(std::size_t votesAgo, std::size_t shift) -> void
    {
        if (this->keys.size() > votesAgo) {
            const auto index = this->keys.size() - votesAgo;
            this->send(this->keys[index - 1], index + shift);
        }
    }

    std::vector<std::string> keys;
    std::map<std::string, std::vector<ExchangeId>> sent;
    std::set<std::size_t> away;   ///< Hosts that callers do not connect to.
    std::set<std::size_t> killed; ///< Hosts that were not stopped in order.
};

/// Clocks that differ by as much as the bound allows, but for a moment's advance.
auto skewsOf(bool skewed) -> std::map<std::size_t, Duration>
{
    if (!skewed) {
        return {};
    }
    return { { 0, 490ms }, { 1, -490ms }, { 2, 0ms }, { 3, -490ms }, { 4, 490ms }, { 5, 100ms } };
}

} // namespace

TEST_CASE("a planned replacement of every host makes no vote unknown", "[handover]")
{
    VotedFleet fleet(skewsOf(GENERATE(false, true)));
    fleet.vote(2s);
    for (std::size_t host = 0; host < 6; ++host) {
        fleet.stop(host);
        fleet.start(host);
        fleet.vote(4s);
    }
    CHECK(fleet.judge() == 0);
}

TEST_CASE("two planned stops in a row make no vote unknown", "[handover]")
{
    const auto skewed = GENERATE(false, true);
    const auto first = GENERATE(0, 1, 2);
    VotedFleet fleet(skewsOf(skewed));
    fleet.vote(2s);
    fleet.stop(static_cast<std::size_t>(first));
    fleet.stop(static_cast<std::size_t>((first + 1) % 3));
    CHECK(fleet.judge() == 0);
}

TEST_CASE("two planned stops close upon each other make no vote unknown", "[handover]")
{
    const auto apart = GENERATE(60ms, 150ms, 400ms);
    const auto first = GENERATE(0, 1, 2);
    VotedFleet fleet;
    fleet.vote(2s);
    fleet.begin(static_cast<std::size_t>(first));
    fleet.vote(apart);
    fleet.stop(static_cast<std::size_t>((first + 1) % 3));
    fleet.finish(static_cast<std::size_t>(first));
    CHECK(fleet.judge() == 0);
}

TEST_CASE("a host that joins while another leaves makes no vote unknown", "[handover]")
{
    const auto skewed = GENERATE(false, true);
    const auto joining = GENERATE(0, 1, 2);
    const auto leaving = GENERATE(0, 1, 2);
    if (joining == leaving) {
        return;
    }
    VotedFleet fleet(skewsOf(skewed));
    fleet.vote(1s);
    fleet.stop(static_cast<std::size_t>(joining));
    fleet.vote(4s);
    fleet.begin(static_cast<std::size_t>(leaving));
    fleet.start(static_cast<std::size_t>(joining));
    fleet.finish(static_cast<std::size_t>(leaving));
    CHECK(fleet.judge() == 0);
}

TEST_CASE("killed hosts hand nothing over and no vote runs twice", "[handover]")
{
    VotedFleet fleet(skewsOf(GENERATE(false, true)));
    fleet.vote(2s);
    for (std::size_t host = 0; host < 6; ++host) {
        fleet.kill(host);
        fleet.vote(4s);
        fleet.start(host);
        fleet.vote(4s);
    }
    CHECK(fleet.judge() > 0);
}

TEST_CASE("a home that is killed and at work again at once runs no vote twice", "[handover]")
{
    const auto joining = GENERATE(0, 1, 2);
    const auto gap = GENERATE(1ms, 20ms, 300ms);
    VotedFleet fleet;
    fleet.vote(500ms);
    fleet.stop(static_cast<std::size_t>(joining));
    fleet.vote(3s);
    fleet.start(static_cast<std::size_t>(joining));
    fleet.vote(4s);
    fleet.kill(static_cast<std::size_t>(joining));
    fleet.vote(gap);
    fleet.start(static_cast<std::size_t>(joining));
    fleet.vote(2s);
    fleet.judge();
}

TEST_CASE("hosts that come, go, die and pause at random run no vote twice", "[handover]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 31));
    std::mt19937_64 random(seed);
    VotedFleet fleet(skewsOf(seed % 2 == 0));
    fleet.fleet.serviceTime = Duration(5ms + static_cast<int>(seed % 4) * 200ms);
    std::set<std::size_t> down;
    std::set<std::size_t> paused;
    fleet.vote(1s);
    for (int step = 0; step < 25; ++step) {
        const auto host = static_cast<std::size_t>(random() % 6);
        const auto isUp = down.count(host) == 0 && paused.count(host) == 0;
        const auto roll = random() % 5;
        if (down.count(host) != 0) {
            fleet.kill(host);
            fleet.start(host);
            down.erase(host);
        } else if (paused.erase(host) != 0) {
            fleet.fleet.resume(host);
        } else if (isUp && roll == 0 && paused.insert(host).second) {
            fleet.fleet.pause(host);
        } else if (isUp && roll == 1 && down.insert(host).second) {
            fleet.kill(host);
        } else if (isUp && down.size() < 4 && down.insert(host).second) {
            fleet.begin(host);
        }
        if (down.size() + paused.size() > 4) {
            for (const auto other : std::exchange(paused, {})) {
                fleet.fleet.resume(other);
            }
        }
        fleet.vote(std::chrono::milliseconds(random() % 1500));
    }
    for (const auto other : paused) {
        fleet.fleet.resume(other);
    }
    fleet.judge();
}

TEST_CASE("a table that moves votes while a host joins lets none run twice", "[handover]")
{
    const auto joining = GENERATE(0, 1, 2);
    const auto apart = GENERATE(1ms, 200ms, 600ms, 1200ms);
    const auto joinsFirst = GENERATE(false, true);
    VotedFleet fleet;
    fleet.vote(500ms);
    fleet.stop(static_cast<std::size_t>(joining));
    fleet.vote(4s);
    const auto moved = rowsText() + upstreamText("pa1", "packs", "a", 1)
                       + upstreamText("pb1", "packs", "b", 11)
                       + upstreamText("pb2", "packs", "b", 12);
    for (const auto &text : { moved, sampleTable(), moved }) {
        if (joinsFirst) {
            fleet.start(static_cast<std::size_t>(joining));
            fleet.vote(apart);
            fleet.fleet.publish(text);
        } else {
            fleet.fleet.publish(text);
            fleet.vote(apart);
            fleet.start(static_cast<std::size_t>(joining));
        }
        fleet.vote(3s);
        fleet.stop(static_cast<std::size_t>(joining));
    }
    fleet.judge();
}

namespace {

/// A host that was home of a cell and is asked for it while a request runs there.
class AskedHome
{
public:
    AskedHome() : fleet(1)
    {
        this->fleet.publish(1, "first");
        for (const auto *name : { "a1", "a2", "a3" }) {
            this->fleet.add(name, "a");
        }
        REQUIRE(this->fleet.runUntil([&] { return this->fleet.isHomed(); }, 6s));
        this->fleet.run(1s);
        this->claimant = HostId::ofName(this->fleet.homes("a").front());
        const auto *name = this->fleet.homes("a").front() == "a1" ? "a2" : "a1";
        this->board = &this->fleet.board(name);
        this->board->tenure.begin(this->cell, { this->board->now.wall - 1h, {} });
        const RunningRequest running { ExchangeId(1), 1, this->cell, this->row.id };
        this->board->cells.enqueue(this->cell, this->row, running.exchange);
        this->board->cells.start(running);
    }

    /// Has `claim` asked for. @returns the grant, if one is sent.
    auto ask(std::uint64_t claim) -> std::optional<ClaimGrant>
    {
        const auto zone = this->board->init.self.zone;
        ClaimRequest request { claim, { this->cell }, claim, this->board->membership.voters(zone) };
        this->board->outbox.clear();
        this->grantor.requested(*this->board, this->own, this->claimant, request);
        return this->grant();
    }
    /// Has time pass until the request that runs is waited for no more.
    auto wait() -> std::optional<ClaimGrant>
    {
        this->board->now.mono += config::handoverTimeout;
        this->board->outbox.clear();
        this->grantor.advance(*this->board);
        return this->grant();
    }

    const CellId cell = cellOf(ServiceId::ofName("pack"), ZoneId::ofName("a"));
    HostId claimant;
    Grantor grantor;

private:
    auto grant() -> std::optional<ClaimGrant>
    {
        for (const auto &action : this->board->outbox) {
            const auto *sent = std::get_if<SendPeer>(&action);
            const auto *grant = sent ? std::get_if<ClaimGrant>(&sent->message) : nullptr;
            if (grant != nullptr && !grant->granted.empty()) {
                return *grant;
            }
        }
        return std::nullopt;
    }

    PeerFleet fleet;
    Row row;
    Claimant own;
    Blackboard *board = nullptr;
};

} // namespace

TEST_CASE("a home hands its knowledge over once, and not if it may not have been the last home",
          "[handover]")
{
    AskedHome home;
    REQUIRE_FALSE(home.ask(1));
    SECTION("granted when the request was waited for")
    {
        const auto grant = home.wait();
        REQUIRE(grant);
        CHECK(grant->held.size() == 1);
        CHECK(grant->knowledge.size() == 1);
        CHECK(home.ask(1)->knowledge.size() == 1); // The same claim asks again.
        CHECK(home.ask(2)->knowledge.empty());     // The first one may have been home.
    }
    SECTION("the claim is given up unbegun")
    {
        REQUIRE(home.wait());
        home.grantor.released(home.claimant, { 1, { home.cell } });
        CHECK(home.ask(2)->knowledge.size() == 1);
        home.grantor.released(home.claimant, { 1, { home.cell } }); // Not the last one.
        CHECK(home.ask(3)->knowledge.empty());
    }
    SECTION("paused, cut off or held to be dead meanwhile")
    {
        home.grantor.disown();
        const auto grant = home.wait();
        REQUIRE(grant);
        CHECK(grant->held.empty());
        CHECK(grant->knowledge.empty());
        home.grantor.released(home.claimant, { 1, { home.cell } });
        CHECK(home.ask(2)->knowledge.empty());
    }
}
