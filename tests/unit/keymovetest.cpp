/// Edits that move idempotency keys to other zones: no key is run twice, and none is lost to them.
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

/// Returns a table with so many active and draining upstreams of "packs" in zones a, b and c.
auto zonesTable(std::array<int, 3> active, std::array<int, 3> draining = { 0, 0, 0 }) -> std::string
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

/// A key, when it was made and the callers that sent it.
struct Vote
{
    std::string key;
    MonoTime made;
    std::vector<ExchangeId> calls;
};

/// What came of the votes.
struct Tally
{
    std::size_t votes = 0;
    std::size_t unknown = 0; ///< Callers refused with the verdict "unknown".
    std::size_t notRun = 0;  ///< Votes that were not run at all.
    std::size_t unended = 0; ///< Callers that heard nothing.
    std::size_t doubleRuns = 0;
};

/// Sends votes with repeats through all hosts.
class Voting
{
public:
    explicit Voting(std::uint64_t seed, std::string table)
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

    /// Lets the fleet start: keys are provably fresh from then on.
    auto settle() -> void { this->fleet.advance(12s); }

    /// Votes for `duration`; each vote is repeated up to 4 s later through another host.
    auto vote(Duration duration) -> void
    {
        const auto end = this->fleet.now().mono + duration;
        while (this->fleet.now().mono < end) {
            this->cast();
            this->repeatDue();
            this->fleet.advance(10ms);
        }
    }

    [[nodiscard]] auto tally() -> Tally
    {
        this->fleet.advance(5s);
        Tally result;
        for (const auto &vote : this->votes) {
            const auto runs = this->fleet.runsOf(vote.key);
            ++result.votes;
            result.doubleRuns += runs > 1 ? 1 : 0;
            result.notRun += runs == 0 ? 1 : 0;
            for (const auto call : vote.calls) {
                const auto end = this->fleet.result(call);
                const auto isRefused = end.refusal.has_value();
                result.unended += end.ends == 1 ? 0 : 1;
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
    std::set<std::size_t> out; ///< Hosts that take no votes.

private:
    auto draw(std::uint64_t below) -> std::uint64_t { return this->random() % below; }

    auto drawHost() -> std::size_t
    {
        auto host = this->draw(hostCount);
        while (this->out.count(host) > 0) {
            host = this->draw(hostCount);
        }
        return host;
    }

    auto cast() -> void
    {
        const auto made = this->fleet.now().mono;
        const auto key = this->fleet.newKey();
        const auto id = this->fleet.call(this->drawHost(), voteAddress, {}, key);
        this->votes.push_back({ key, made, { id } });
        const auto due = made + Duration(this->draw(4000) * 1ms);
        this->due.emplace(due, this->votes.size() - 1);
    }

    auto repeatDue() -> void
    {
        while (!this->due.empty() && this->due.begin()->first <= this->fleet.now().mono) {
            auto &vote = this->votes[this->due.begin()->second];
            this->due.erase(this->due.begin());
            vote.calls.push_back(this->fleet.call(this->drawHost(), voteAddress, {}, vote.key));
        }
    }

    std::multimap<MonoTime, std::size_t> due;
};

auto checkNoneHurt(const Tally &tally) -> void
{
    CHECK(tally.doubleRuns == 0);
    CHECK(tally.unknown == 0);
    CHECK(tally.unended == 0);
    CHECK(tally.notRun == 0);
}

} // namespace

TEST_CASE("a drained, an added and a removed upstream make no key unknown nor run it twice",
          "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Voting voting(seed, zonesTable({ 4, 4, 4 }));
        voting.settle();
        voting.vote(2s);
        voting.fleet.publish(zonesTable({ 2, 4, 4 }, { 2, 0, 0 }));
        voting.vote(12s);
        voting.fleet.publish(zonesTable({ 2, 4, 6 }, { 2, 0, 0 }));
        voting.vote(12s);
        voting.fleet.publish(zonesTable({ 2, 2, 6 }));
        voting.vote(12s);
        checkNoneHurt(voting.tally());
    }
}

TEST_CASE("three edits within two seconds make no key unknown nor run it twice", "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Voting voting(seed, zonesTable({ 4, 4, 4 }));
        voting.settle();
        voting.vote(1s);
        voting.fleet.publish(zonesTable({ 1, 4, 4 }, { 3, 0, 0 }));
        voting.vote(900ms);
        voting.fleet.publish(zonesTable({ 4, 1, 4 }, { 0, 3, 0 }));
        voting.vote(900ms);
        voting.fleet.publish(zonesTable({ 4, 4, 1 }, { 0, 0, 3 }));
        voting.vote(16s);
        checkNoneHurt(voting.tally());
    }
}

TEST_CASE("a host that starts after an edit places keys as the others do", "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Voting voting(seed, zonesTable({ 4, 4, 4 }));
        voting.settle();
        voting.vote(1s);
        voting.fleet.publish(zonesTable({ 1, 4, 4 }, { 3, 0, 0 }));
        voting.out = { 0, 1, 5 }; // Zone a and a host of c get no votes while host 5 starts.
        voting.fleet.advance(4500ms);
        voting.fleet.kill(5);
        voting.fleet.advance(2s);
        voting.fleet.restart(5);
        voting.fleet.advance(1s);
        voting.out.clear();
        voting.vote(12s);
        checkNoneHurt(voting.tally());
    }
}

TEST_CASE("without times of publication edits still run no key twice nor make one unknown",
          "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Voting voting(seed, zonesTable({ 4, 4, 4 }));
        voting.fleet.tellsPublished = false;
        voting.settle();
        voting.vote(2s);
        voting.fleet.publish(zonesTable({ 1, 4, 6 }, { 3, 0, 0 }));
        voting.vote(1s);
        voting.fleet.publish(zonesTable({ 4, 1, 6 }, { 0, 3, 0 }));
        voting.vote(20s);
        checkNoneHurt(voting.tally());
    }
}

TEST_CASE("a zone that is drained whole and comes back runs no key twice", "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Voting voting(seed, zonesTable({ 4, 4, 4 }));
        voting.settle();
        voting.vote(2s);
        voting.fleet.publish(zonesTable({ 0, 4, 4 }, { 4, 0, 0 }));
        voting.vote(8s);
        voting.fleet.publish(zonesTable({ 0, 4, 1 }, { 4, 0, 3 }));
        voting.vote(8s);
        voting.fleet.publish(zonesTable({ 4, 4, 4 }));
        voting.vote(14s);
        voting.fleet.publish(zonesTable({ 0, 4, 4 }));
        voting.vote(14s);
        const auto tally = voting.tally();
        CHECK(tally.doubleRuns == 0);
        CHECK(tally.unended == 0);
        CHECK(tally.unknown + tally.notRun < tally.votes / 10);
    }
}

TEST_CASE("a zone that goes on alone with an old table makes no key run twice", "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Voting voting(seed, zonesTable({ 4, 4, 4 }));
        voting.settle();
        voting.fleet.split = { 0, 1 };
        voting.fleet.blind = { 0, 1 };
        voting.vote(1s);
        voting.fleet.publish(zonesTable({ 1, 4, 4 }, { 3, 0, 0 }));
        voting.vote(20s);
        const auto before = voting.fleet.runs.size();
        voting.fleet.publish(zonesTable({ 4, 1, 4 }, { 0, 3, 0 }));
        voting.vote(20s);
        const auto isAlone = [](const UpstreamRun &run) { return run.host < 2; };
        const auto &runs = voting.fleet.runs;
        const auto during = runs.begin() + static_cast<std::ptrdiff_t>(before);
        CHECK(std::count_if(during, runs.end(), isAlone) > 100);
        voting.fleet.split.clear();
        voting.fleet.blind.clear();
        voting.vote(10s);
        CHECK(voting.tally().doubleRuns == 0);
    }
}

TEST_CASE("a host that is cut off with an old table makes no key run twice", "[keymove]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Voting voting(seed, zonesTable({ 4, 4, 4 }));
        voting.settle();
        voting.fleet.mute = { 0 };
        voting.fleet.blind = { 0 };
        voting.vote(1s);
        voting.fleet.publish(zonesTable({ 1, 4, 4 }, { 3, 0, 0 }));
        voting.vote(20s);
        voting.fleet.publish(zonesTable({ 4, 1, 4 }, { 0, 3, 0 }));
        voting.vote(20s);
        voting.fleet.mute.clear();
        voting.fleet.blind.clear();
        voting.vote(10s);
        CHECK(voting.tally().doubleRuns == 0);
    }
}
