/// Tests changes of home under non-idempotent requests with keys. Planned changes must not answer
/// any request with the verdict `unknown`, and no change may run a request twice.
#include "peerfleet.h"
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

#include <random>
#include <utility>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

/// Sends non-idempotent requests ("votes"), each with its own key, at a constant rate to a fleet
/// whose hosts are stopped, killed and started.
///
/// Each vote is sent three times through different hosts: at once, after 40 ms and after 700 ms.
class VotingFleet
{
public:
    explicit VotingFleet(const std::map<std::size_t, Duration> &skews = {})
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

    /// Sends a new vote every 10 ms for `time`.
    auto sendVotes(Duration time) -> void
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

    /// Stops `host` gracefully while votes are being sent.
    auto stop(std::size_t host) -> void
    {
        this->beginStop(host);
        this->finishStop(host);
    }
    /// Requests a graceful stop of `host`. Callers use other hosts from now on.
    auto beginStop(std::size_t host) -> void
    {
        this->avoided.insert(host);
        this->fleet.deliver(host, StopRequested {});
    }
    /// Sends votes until `host` has stopped.
    auto finishStop(std::size_t host) -> void
    {
        while (this->fleet.stopped.count(host) == 0) {
            this->sendVotes(50ms);
        }
        CHECK(this->fleet.stopped.at(host).empty());
        this->fleet.kill(host);
    }
    auto kill(std::size_t host) -> void
    {
        this->avoided.insert(host);
        this->killed.insert(host);
        this->fleet.kill(host);
    }
    auto start(std::size_t host) -> void
    {
        this->avoided.erase(host);
        this->fleet.restart(host);
    }

    /// Checks the outcome of every vote. @returns how many answers had the verdict `unknown`.
    auto checkOutcomes() -> std::size_t
    {
        this->sendVotes(1s);
        this->fleet.advance(8s);
        std::size_t unknown = 0;
        std::size_t notRun = 0;
        for (const auto &[key, ids] : this->sent) {
            const auto runs = this->fleet.runsOf(key);
            CHECK(runs <= 1);
            notRun += runs == 0 ? 1 : 0;
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
                      << " votes, " << this->fleet.runs.size() << " runs, " << notRun
                      << " votes not run, " << unknown << " answers unknown");
        return unknown;
    }

    VirtualFleet fleet;

private:
    auto send(const std::string &key, std::size_t seed) -> void
    {
        auto host = seed % 6;
        while (this->avoided.count(host) != 0) {
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
    std::set<std::size_t> avoided; ///< Hosts to which no votes are sent.
    std::set<std::size_t> killed;  ///< Hosts that were killed without a graceful stop.
};

/// Returns the clock skew of each host. If `skewed`, clocks differ by the largest allowed amount,
/// less a margin for the advance of time within a step.
auto clockSkews(bool skewed) -> std::map<std::size_t, Duration>
{
    if (!skewed) {
        return {};
    }
    return { { 0, 490ms }, { 1, -490ms }, { 2, 0ms }, { 3, -490ms }, { 4, 490ms }, { 5, 100ms } };
}

} // namespace

TEST_CASE("no keyed request gets the verdict unknown when every host is stopped gracefully and "
          "restarted, one after another",
          "[handover]")
{
    VotingFleet fleet(clockSkews(GENERATE(false, true)));
    fleet.sendVotes(2s);
    for (std::size_t host = 0; host < 6; ++host) {
        fleet.stop(host);
        fleet.start(host);
        fleet.sendVotes(4s);
    }
    CHECK(fleet.checkOutcomes() == 0);
}

TEST_CASE(
        "no keyed request gets the verdict unknown during two consecutive graceful stops in a zone",
        "[handover]")
{
    const auto skewed = GENERATE(false, true);
    const auto first = GENERATE(0, 1, 2);
    VotingFleet fleet(clockSkews(skewed));
    fleet.sendVotes(2s);
    fleet.stop(static_cast<std::size_t>(first));
    fleet.stop(static_cast<std::size_t>((first + 1) % 3));
    CHECK(fleet.checkOutcomes() == 0);
}

TEST_CASE(
        "no keyed request gets the verdict unknown during two overlapping graceful stops in a zone",
        "[handover]")
{
    const auto interval = GENERATE(60ms, 150ms, 400ms);
    const auto first = GENERATE(0, 1, 2);
    VotingFleet fleet;
    fleet.sendVotes(2s);
    fleet.beginStop(static_cast<std::size_t>(first));
    fleet.sendVotes(interval);
    fleet.stop(static_cast<std::size_t>((first + 1) % 3));
    fleet.finishStop(static_cast<std::size_t>(first));
    CHECK(fleet.checkOutcomes() == 0);
}

TEST_CASE("no keyed request gets the verdict unknown when a host joins while another stops "
          "gracefully",
          "[handover]")
{
    const auto skewed = GENERATE(false, true);
    const auto joining = GENERATE(0, 1, 2);
    const auto leaving = GENERATE(0, 1, 2);
    if (joining == leaving) {
        return;
    }
    VotingFleet fleet(clockSkews(skewed));
    fleet.sendVotes(1s);
    fleet.stop(static_cast<std::size_t>(joining));
    fleet.sendVotes(4s);
    fleet.beginStop(static_cast<std::size_t>(leaving));
    fleet.start(static_cast<std::size_t>(joining));
    fleet.finishStop(static_cast<std::size_t>(leaving));
    CHECK(fleet.checkOutcomes() == 0);
}

TEST_CASE("killed hosts hand over no keys: some keyed requests get the verdict unknown, but none "
          "runs twice",
          "[handover]")
{
    VotingFleet fleet(clockSkews(GENERATE(false, true)));
    fleet.sendVotes(2s);
    for (std::size_t host = 0; host < 6; ++host) {
        fleet.kill(host);
        fleet.sendVotes(4s);
        fleet.start(host);
        fleet.sendVotes(4s);
    }
    CHECK(fleet.checkOutcomes() > 0);
}

TEST_CASE("a home that is killed and restarted within 300 ms runs no keyed request twice",
          "[handover]")
{
    const auto joining = GENERATE(0, 1, 2);
    const auto gap = GENERATE(1ms, 20ms, 300ms);
    VotingFleet fleet;
    fleet.sendVotes(500ms);
    fleet.stop(static_cast<std::size_t>(joining));
    fleet.sendVotes(3s);
    fleet.start(static_cast<std::size_t>(joining));
    fleet.sendVotes(4s);
    fleet.kill(static_cast<std::size_t>(joining));
    fleet.sendVotes(gap);
    fleet.start(static_cast<std::size_t>(joining));
    fleet.sendVotes(2s);
    fleet.checkOutcomes();
}

TEST_CASE("no keyed request runs twice under random starts, stops, kills and pauses of hosts",
          "[handover]")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 31));
    std::mt19937_64 random(seed);
    VotingFleet fleet(clockSkews(seed % 2 == 0));
    fleet.fleet.serviceTime = Duration(5ms + static_cast<int>(seed % 4) * 200ms);
    std::set<std::size_t> down;
    std::set<std::size_t> paused;
    fleet.sendVotes(1s);
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
            fleet.beginStop(host);
        }
        if (down.size() + paused.size() > 4) {
            for (const auto other : std::exchange(paused, {})) {
                fleet.fleet.resume(other);
            }
        }
        fleet.sendVotes(std::chrono::milliseconds(random() % 1500));
    }
    for (const auto other : paused) {
        fleet.fleet.resume(other);
    }
    fleet.checkOutcomes();
}

TEST_CASE("no keyed request runs twice when a table change moves keys to another zone while a host "
          "joins",
          "[handover]")
{
    const auto joining = GENERATE(0, 1, 2);
    const auto interval = GENERATE(1ms, 200ms, 600ms, 1200ms);
    const auto joinsFirst = GENERATE(false, true);
    VotingFleet fleet;
    fleet.sendVotes(500ms);
    fleet.stop(static_cast<std::size_t>(joining));
    fleet.sendVotes(4s);
    const auto moved = rowsText() + upstreamText("pa1", "packs", "a", 1)
                       + upstreamText("pb1", "packs", "b", 11)
                       + upstreamText("pb2", "packs", "b", 12);
    for (const auto &text : { moved, sampleTable(), moved }) {
        if (joinsFirst) {
            fleet.start(static_cast<std::size_t>(joining));
            fleet.sendVotes(interval);
            fleet.fleet.publish(text);
        } else {
            fleet.fleet.publish(text);
            fleet.sendVotes(interval);
            fleet.start(static_cast<std::size_t>(joining));
        }
        fleet.sendVotes(3s);
        fleet.stop(static_cast<std::size_t>(joining));
    }
    fleet.checkOutcomes();
}

namespace {

/// A host that is the home of a cell with one running request, and that gets claims to the cell
/// from another host.
class ClaimedHome
{
public:
    ClaimedHome() : fleet(1)
    {
        this->fleet.publish(1, "first");
        for (const auto *name : { "a1", "a2", "a3" }) {
            this->fleet.add(name, "a");
        }
        REQUIRE(this->fleet.runUntil([&] { return this->fleet.hasOneHomePerZone(); }, 6s));
        this->fleet.run(1s);
        this->claimant = HostId::ofName(this->fleet.homes("a").front());
        const auto *name = this->fleet.homes("a").front() == "a1" ? "a2" : "a1";
        this->board = &this->fleet.board(name);
        this->board->tenure.begin(this->cell, { this->board->now.wall - 1h, {} });
        const RunningRequest running { ExchangeId(1), 1, this->cell, this->row.id };
        this->board->cells.enqueue(this->cell, this->row, running.exchange);
        this->board->cells.start(running);
    }

    /// Delivers a request of the claim with id `claim`. @returns the grant, if one is sent.
    auto requestClaim(std::uint64_t claim) -> std::optional<ClaimGrant>
    {
        const auto zone = this->board->init.self.zone;
        ClaimRequest request { claim, { this->cell }, claim, this->board->membership.voters(zone) };
        this->board->outbox.clear();
        this->grantor.handleRequest(*this->board, this->ownClaimant, this->claimant, request);
        return this->sentGrant();
    }
    /// Advances the clock by `config::handoverTimeout`, after which the running request no longer
    /// delays the grant. @returns the grant, if one is sent.
    auto waitForTimeout() -> std::optional<ClaimGrant>
    {
        this->board->now.mono += config::handoverTimeout;
        this->board->outbox.clear();
        this->grantor.advance(*this->board);
        return this->sentGrant();
    }

    const CellId cell = cellOf(ServiceId::ofName("pack"), ZoneId::ofName("a"));
    HostId claimant;
    Grantor grantor;

private:
    auto sentGrant() -> std::optional<ClaimGrant>
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
    Claimant ownClaimant;
    Blackboard *board = nullptr;
};

} // namespace

TEST_CASE("a former home hands over its keys unless another host may have been home since",
          "[handover]")
{
    ClaimedHome home;
    REQUIRE_FALSE(home.requestClaim(1));
    SECTION("the claim is granted after the timeout of the running request")
    {
        const auto grant = home.waitForTimeout();
        REQUIRE(grant);
        CHECK(grant->held.size() == 1);
        CHECK(grant->knowledge.size() == 1);
        CHECK(home.requestClaim(1)->knowledge.size() == 1); // The same claim, requested again.
        CHECK(home.requestClaim(2)
                      ->knowledge.empty()); // The first claimant may have become the home.
    }
    SECTION("the granted claim is released before its tenure begins")
    {
        REQUIRE(home.waitForTimeout());
        home.grantor.handleRelease(home.claimant, { 1, { home.cell } });
        CHECK(home.requestClaim(2)->knowledge.size() == 1);
        home.grantor.handleRelease(home.claimant, { 1, { home.cell } }); // Not the latest claim.
        CHECK(home.requestClaim(3)->knowledge.empty());
    }
    SECTION("the former home was paused, isolated or declared dead before the grant")
    {
        home.grantor.clearLastHome();
        const auto grant = home.waitForTimeout();
        REQUIRE(grant);
        CHECK(grant->held.empty());
        CHECK(grant->knowledge.empty());
        home.grantor.handleRelease(home.claimant, { 1, { home.cell } });
        CHECK(home.requestClaim(2)->knowledge.empty());
    }
}
