/// Random faults: whatever happens, nothing runs twice and no refusal lies.
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

#include <random>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t hostCount = 6;

/// A vote and all attempts of its caller.
struct Vote
{
    std::string key;
    std::vector<std::pair<std::size_t, ExchangeId>> attempts;
    bool left = false;
};

/// A fleet under random faults, and what was asked of it.
class Chaos
{
public:
    explicit Chaos(std::uint64_t seed)
        : random(seed), fleet({ { "a1", "a" },
                                { "a2", "a" },
                                { "a3", "a" },
                                { "b1", "b" },
                                { "b2", "b" },
                                { "b3", "b" } },
                              sampleTable())
    {
        this->fleet.settle();
        this->fleet.behaviour = [this](UpstreamId) { return this->drawBehaviour(); };
    }

    auto run() -> void
    {
        for (int step = 0; step < 400; ++step) {
            this->vote();
            this->repeat();
            this->read();
            this->fault();
            this->fleet.serviceTime = Duration(5ms + this->draw(100) * 1ms);
            this->fleet.advance(this->draw(60) * 1ms);
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            this->fleet.resume(host);
        }
        this->fleet.advance(12s);
    }

    std::mt19937_64 random;
    VirtualFleet fleet;
    std::vector<Vote> votes;
    std::vector<std::pair<std::size_t, ExchangeId>> reads;
    std::set<std::size_t> killed;

private:
    auto draw(std::uint64_t below) -> std::uint64_t { return this->random() % below; }

    auto drawBehaviour() -> Behaviour
    {
        const auto roll = this->draw(100);
        if (roll < 80) {
            return Behaviour::Answer;
        }
        return static_cast<Behaviour>(1 + this->draw(7));
    }

    auto drawHost() -> std::size_t
    {
        auto host = this->draw(hostCount);
        while (this->killed.count(host) > 0) {
            host = this->draw(hostCount);
        }
        return host;
    }

    auto vote() -> void
    {
        const auto host = this->drawHost();
        Vote vote;
        vote.key = this->fleet.newKey();
        vote.attempts.emplace_back(host, this->fleet.call(host, voteAddress, {}, vote.key));
        this->votes.push_back(vote);
    }

    auto repeat() -> void
    {
        if (this->draw(3) > 0) {
            return;
        }
        auto &vote = this->votes[this->votes.size() - 1 - this->draw(this->votes.size()) / 8];
        if (this->draw(8) == 0) {
            vote.left = true;
            this->fleet.give(vote.attempts.back().first,
                             CallerLeft { vote.attempts.back().second });
        }
        const auto host = this->drawHost();
        vote.attempts.emplace_back(host, this->fleet.call(host, voteAddress, {}, vote.key));
    }

    auto read() -> void
    {
        const auto host = this->drawHost();
        const auto *address = this->draw(2) == 0 ? readAddress : uploadAddress;
        this->reads.emplace_back(host, this->fleet.call(host, address));
    }

    auto fault() -> void
    {
        const auto roll = this->draw(120);
        const auto host = this->drawHost();
        if (roll == 0 && this->killed.size() < 3) {
            this->killed.insert(host);
            this->fleet.kill(host);
        } else if (roll < 3) {
            this->fleet.pause(host);
        } else if (roll < 7) {
            this->fleet.resume(host);
        } else if (roll < 9) {
            this->fleet.mute.insert(host);
        } else if (roll < 14) {
            this->fleet.mute.clear();
        } else if (roll == 14 && this->killed.size() < 3) {
            this->killed.insert(host);
            this->fleet.give(host, StopRequested {});
        }
    }
};

} // namespace

TEST_CASE("under random faults no vote runs twice and no verdict lies")
{
    std::size_t answered = 0;
    std::size_t votes = 0;
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        Chaos chaos(seed);
        chaos.run();
        votes += chaos.votes.size();
        for (const auto &vote : chaos.votes) {
            INFO("seed " << seed << " key " << vote.key);
            const auto runs = chaos.fleet.runsOf(vote.key);
            CHECK(runs <= 1);
            bool allUnrun = !vote.left;
            for (const auto &[host, id] : vote.attempts) {
                const auto end = chaos.fleet.result(id);
                const auto isUnrun = end.refusal && end.refusal->verdict == Verdict::NotRun;
                allUnrun = allUnrun && isUnrun;
                answered += end.answered || end.replayed ? 1 : 0;
                if (chaos.killed.count(host) == 0 && !vote.left) {
                    CHECK(end.ends == 1);
                }
                CHECK((!end.answered || runs == 1));
            }
            CHECK((!allUnrun || runs == 0));
        }
        for (const auto &[host, id] : chaos.reads) {
            if (chaos.killed.count(host) == 0) {
                INFO("seed " << seed << " read " << id.value());
                CHECK(chaos.fleet.result(id).ends == 1);
            }
        }
        for (const auto &run : chaos.fleet.runs) {
            CHECK((run.service == "packs")
                  == (run.upstream != UpstreamId::ofName("ia1")
                      && run.upstream != UpstreamId::ofName("ib1")));
        }
    }
    CHECK(answered > votes / 3); // The faults leave something to be proved.
}
