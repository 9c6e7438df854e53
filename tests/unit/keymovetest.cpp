/// Table edits that move idempotency keys to other zones: a key must not be run twice when its
/// repeats reach hosts with different tables, and no request may be refused or lost because of it.
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t hostCount = 6;

/// Returns the text of a table with the given numbers of active and draining upstreams of "packs"
/// in zones a, b and c.
auto zonesTableText(std::array<int, 3> active, std::array<int, 3> draining = { 0, 0, 0 })
        -> std::string
{
    auto text = rowsText("1", "deadline_ms = 3000\n");
    int number = 0;
    for (std::size_t i = 0; i < active.size(); ++i) {
        const std::string zone(1, static_cast<char>('a' + i));
        for (int n = 0; n < active[i] + draining[i]; ++n) {
            const auto name = "p" + zone + std::to_string(n);
            const auto *state = n < active[i] ? "" : "state = \"draining\"\n";
            text += upstreamText(name, "packs", zone, ++number, state);
        }
    }
    return text + upstreamText("ia1", "intake", "a", 100);
}

/// A request with an idempotency key, and its repeats.
struct Vote
{
    std::string key;
    MonoTime made;
    std::vector<ExchangeId> calls; ///< The request and its repeats.
};

/// Counts of the outcomes of all votes.
struct VoteCounts
{
    std::size_t votes = 0;
    std::size_t unknown = 0;    ///< Calls refused with the verdict "unknown".
    std::size_t notRun = 0;     ///< Votes that no upstream ran.
    std::size_t unanswered = 0; ///< Calls that did not end exactly once.
    std::size_t doubleRuns = 0; ///< Votes that were run more than once.
};

/// Sends votes and their repeats through random hosts of a fleet.
class VoteTraffic
{
public:
    explicit VoteTraffic(std::uint64_t seed, std::string table)
        : random(seed), fleet({ { "a1", "a" },
                                { "a2", "a" },
                                { "b1", "b" },
                                { "b2", "b" },
                                { "c1", "c" },
                                { "c2", "c" } },
                              std::move(table))
    {
        for (std::size_t host = 0; host < hostCount; ++host) {
            this->fleet.tableLag[host] = this->draw(4001) * 1ms;
        }
    }

    /// Runs the fleet until new keys are provably fresh.
    auto warmUp() -> void { this->fleet.advance(12s); }

    /// Sends votes for `duration`. Each is repeated once, up to 4 s later, through a random host.
    auto voteFor(Duration duration) -> void
    {
        const auto end = this->fleet.now().mono + duration;
        while (this->fleet.now().mono < end) {
            this->sendVote();
            this->sendDueRepeats();
            this->fleet.advance(10ms);
        }
    }

    /// Waits for outstanding answers and counts the outcomes.
    [[nodiscard]] auto countResults() -> VoteCounts
    {
        this->fleet.advance(5s);
        VoteCounts result;
        for (const auto &vote : this->votes) {
            const auto runs = this->fleet.runsOf(vote.key);
            ++result.votes;
            result.doubleRuns += runs > 1 ? 1 : 0;
            result.notRun += runs == 0 ? 1 : 0;
            for (const auto call : vote.calls) {
                const auto end = this->fleet.result(call);
                const auto isRefused = end.refusal.has_value();
                result.unanswered += end.ends == 1 ? 0 : 1;
                result.unknown += isRefused && end.refusal->verdict == Verdict::Unknown ? 1 : 0;
            }
        }
        UNSCOPED_INFO(result.votes << " votes: " << result.unknown << " unknown, " << result.notRun
                                   << " not run, " << result.doubleRuns << " twice");
        return result;
    }

    std::mt19937_64 random;
    VirtualFleet fleet;
    std::vector<Vote> votes;
    std::set<std::size_t> excludedHosts; ///< Hosts through which no votes are sent.

private:
    auto draw(std::uint64_t below) -> std::uint64_t { return this->random() % below; }

    auto drawHost() -> std::size_t
    {
        auto host = this->draw(hostCount);
        while (this->excludedHosts.count(host) > 0) {
            host = this->draw(hostCount);
        }
        return host;
    }

    auto sendVote() -> void
    {
        const auto made = this->fleet.now().mono;
        const auto key = this->fleet.newKey();
        const auto id = this->fleet.call(this->drawHost(), voteAddress, {}, key);
        this->votes.push_back({ key, made, { id } });
        const auto due = made + Duration(this->draw(4000) * 1ms);
        this->due.emplace(due, this->votes.size() - 1);
    }

    auto sendDueRepeats() -> void
    {
        while (!this->due.empty() && this->due.begin()->first <= this->fleet.now().mono) {
            auto &vote = this->votes[this->due.begin()->second];
            this->due.erase(this->due.begin());
            vote.calls.push_back(this->fleet.call(this->drawHost(), voteAddress, {}, vote.key));
        }
    }

    std::multimap<MonoTime, std::size_t> due;
};

auto checkEachRunOnce(const VoteCounts &counts) -> void
{
    CHECK(counts.doubleRuns == 0);
    CHECK(counts.unknown == 0);
    CHECK(counts.unanswered == 0);
    CHECK(counts.notRun == 0);
}

} // namespace

TEST_CASE("draining, adding and removing upstreams makes no verdict unknown and runs no key twice",
          "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        VoteTraffic traffic(seed, zonesTableText({ 4, 4, 4 }));
        traffic.warmUp();
        traffic.voteFor(2s);
        traffic.fleet.publish(zonesTableText({ 2, 4, 4 }, { 2, 0, 0 }));
        traffic.voteFor(12s);
        traffic.fleet.publish(zonesTableText({ 2, 4, 6 }, { 2, 0, 0 }));
        traffic.voteFor(12s);
        traffic.fleet.publish(zonesTableText({ 2, 2, 6 }));
        traffic.voteFor(12s);
        checkEachRunOnce(traffic.countResults());
    }
}

TEST_CASE("three table edits within two seconds make no verdict unknown and run no key twice",
          "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        VoteTraffic traffic(seed, zonesTableText({ 4, 4, 4 }));
        traffic.warmUp();
        traffic.voteFor(1s);
        traffic.fleet.publish(zonesTableText({ 1, 4, 4 }, { 3, 0, 0 }));
        traffic.voteFor(900ms);
        traffic.fleet.publish(zonesTableText({ 4, 1, 4 }, { 0, 3, 0 }));
        traffic.voteFor(900ms);
        traffic.fleet.publish(zonesTableText({ 4, 4, 1 }, { 0, 0, 3 }));
        traffic.voteFor(16s);
        checkEachRunOnce(traffic.countResults());
    }
}

TEST_CASE("a host that starts after a table edit places keys as the other hosts do", "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        VoteTraffic traffic(seed, zonesTableText({ 4, 4, 4 }));
        traffic.warmUp();
        traffic.voteFor(1s);
        traffic.fleet.publish(zonesTableText({ 1, 4, 4 }, { 3, 0, 0 }));
        // Host 5 restarts; neither it nor zone a gets votes meanwhile.
        traffic.excludedHosts = { 0, 1, 5 };
        traffic.fleet.advance(4500ms);
        traffic.fleet.kill(5);
        traffic.fleet.advance(2s);
        traffic.fleet.restart(5);
        traffic.fleet.advance(1s);
        traffic.excludedHosts.clear();
        traffic.voteFor(12s);
        checkEachRunOnce(traffic.countResults());
    }
}

TEST_CASE("table edits without publication times make no verdict unknown and run no key twice",
          "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        VoteTraffic traffic(seed, zonesTableText({ 4, 4, 4 }));
        traffic.fleet.reportsPublishTime = false;
        traffic.warmUp();
        traffic.voteFor(2s);
        traffic.fleet.publish(zonesTableText({ 1, 4, 6 }, { 3, 0, 0 }));
        traffic.voteFor(1s);
        traffic.fleet.publish(zonesTableText({ 4, 1, 6 }, { 0, 3, 0 }));
        traffic.voteFor(20s);
        checkEachRunOnce(traffic.countResults());
    }
}

TEST_CASE("draining all upstreams of a zone and restoring them runs no key twice", "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        VoteTraffic traffic(seed, zonesTableText({ 4, 4, 4 }));
        traffic.warmUp();
        traffic.voteFor(2s);
        traffic.fleet.publish(zonesTableText({ 0, 4, 4 }, { 4, 0, 0 }));
        traffic.voteFor(8s);
        traffic.fleet.publish(zonesTableText({ 0, 4, 1 }, { 4, 0, 3 }));
        traffic.voteFor(8s);
        traffic.fleet.publish(zonesTableText({ 4, 4, 4 }));
        traffic.voteFor(14s);
        traffic.fleet.publish(zonesTableText({ 0, 4, 4 }));
        traffic.voteFor(14s);
        const auto counts = traffic.countResults();
        CHECK(counts.doubleRuns == 0);
        CHECK(counts.unanswered == 0);
        CHECK(counts.unknown + counts.notRun < counts.votes / 10);
    }
}

TEST_CASE("a partitioned zone that keeps serving with an old table runs no key twice", "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        VoteTraffic traffic(seed, zonesTableText({ 4, 4, 4 }));
        traffic.warmUp();
        traffic.fleet.partitionedHosts = { 0, 1 };
        traffic.fleet.hostsWithoutPlatform = { 0, 1 };
        traffic.voteFor(1s);
        traffic.fleet.publish(zonesTableText({ 1, 4, 4 }, { 3, 0, 0 }));
        traffic.voteFor(20s);
        const auto before = traffic.fleet.runs.size();
        traffic.fleet.publish(zonesTableText({ 4, 1, 4 }, { 0, 3, 0 }));
        traffic.voteFor(20s);
        const auto isInSplitZone = [](const UpstreamRun &run) { return run.host < 2; };
        const auto &runs = traffic.fleet.runs;
        const auto firstAfterEdit = runs.begin() + static_cast<std::ptrdiff_t>(before);
        CHECK(std::count_if(firstAfterEdit, runs.end(), isInSplitZone) > 100);
        traffic.fleet.partitionedHosts.clear();
        traffic.fleet.hostsWithoutPlatform.clear();
        traffic.voteFor(10s);
        CHECK(traffic.countResults().doubleRuns == 0);
    }
}

TEST_CASE("an isolated host with an old table runs no key twice", "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        VoteTraffic traffic(seed, zonesTableText({ 4, 4, 4 }));
        traffic.warmUp();
        traffic.fleet.isolatedHosts = { 0 };
        traffic.fleet.hostsWithoutPlatform = { 0 };
        traffic.voteFor(1s);
        traffic.fleet.publish(zonesTableText({ 1, 4, 4 }, { 3, 0, 0 }));
        traffic.voteFor(20s);
        traffic.fleet.publish(zonesTableText({ 4, 1, 4 }, { 0, 3, 0 }));
        traffic.voteFor(20s);
        traffic.fleet.isolatedHosts.clear();
        traffic.fleet.hostsWithoutPlatform.clear();
        traffic.voteFor(10s);
        CHECK(traffic.countResults().doubleRuns == 0);
    }
}
