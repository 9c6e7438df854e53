/// Checks under random faults that no request with a key runs twice, and that verdicts about
/// execution are true.
#include "sampletable.h"
#include "virtualfleet.h"

#include <catch2/catch.hpp>

#include <random>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t hostCount = 6;

/// A request with an idempotency key, and all attempts of its caller to have it executed.
struct Vote
{
    std::string key;
    std::vector<std::pair<std::size_t, ExchangeId>> attempts;
    bool callerLeft = false; ///< The caller left before an answer came.
};

/// Runs a fleet under random faults, and keeps the requests that were sent to it.
class RandomFaultRun
{
public:
    explicit RandomFaultRun(std::uint64_t seed)
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
            this->retry();
            this->read();
            this->injectFault();
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

    auto retry() -> void
    {
        if (this->draw(3) > 0) {
            return;
        }
        auto &vote = this->votes[this->votes.size() - 1 - this->draw(this->votes.size()) / 8];
        if (this->draw(8) == 0) {
            vote.callerLeft = true;
            this->fleet.deliver(vote.attempts.back().first,
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

    auto injectFault() -> void
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
            this->fleet.isolatedHosts.insert(host);
        } else if (roll < 14) {
            this->fleet.isolatedHosts.clear();
        } else if (roll == 14 && this->killed.size() < 3) {
            this->killed.insert(host);
            this->fleet.deliver(host, StopRequested {});
        }
    }
};

} // namespace

TEST_CASE("under random faults no keyed request runs twice, and none runs if all its attempts get "
          "the verdict not-run")
{
    std::size_t answered = 0;
    std::size_t votes = 0;
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        RandomFaultRun faultRun(seed);
        faultRun.run();
        votes += faultRun.votes.size();
        for (const auto &vote : faultRun.votes) {
            INFO("seed " << seed << " key " << vote.key);
            const auto runs = faultRun.fleet.runsOf(vote.key);
            CHECK(runs <= 1);
            bool allNotRun = !vote.callerLeft;
            for (const auto &[host, id] : vote.attempts) {
                const auto end = faultRun.fleet.result(id);
                const auto isNotRun = end.refusal && end.refusal->verdict == Verdict::NotRun;
                allNotRun = allNotRun && isNotRun;
                answered += end.answered || end.replayed ? 1 : 0;
                if (faultRun.killed.count(host) == 0 && !vote.callerLeft) {
                    CHECK(end.ends == 1);
                }
                CHECK((!end.answered || runs == 1));
            }
            CHECK((!allNotRun || runs == 0));
        }
        for (const auto &[host, id] : faultRun.reads) {
            if (faultRun.killed.count(host) == 0) {
                INFO("seed " << seed << " read " << id.value());
                CHECK(faultRun.fleet.result(id).ends == 1);
            }
        }
        for (const auto &run : faultRun.fleet.runs) {
            CHECK((run.service == "packs")
                  == (run.upstream != UpstreamId::ofName("ia1")
                      && run.upstream != UpstreamId::ofName("ib1")));
        }
    }
    CHECK(answered > votes / 3); // Enough votes are answered for the checks above to be meaningful.
}
