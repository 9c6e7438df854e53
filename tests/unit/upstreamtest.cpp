/// Tests of upstream health: ejection, ramp-up, shedding, draining and probes.
#include "cellhome.h"

#include <catch2/catch.hpp>

using namespace flamingograde;

namespace {

/// A home host with `count` upstreams of four slots each.
struct UpstreamHome : CellHome
{
    Row row;
    std::vector<UpstreamId> ids;

    explicit UpstreamHome(int count)
    {
        this->row = this->addRow("votes");
        for (int i = 0; i < count; ++i) {
            this->ids.push_back(this->addUpstream("u" + std::to_string(i), 4));
        }
        this->start();
        this->serveIn(10ms);
    }

    /// Sends requests at intervals of 1 ms.
    auto sendRequests(int requests) -> void
    {
        for (int i = 0; i < requests; ++i) {
            this->arrive(this->row);
            this->pass(1ms);
        }
    }

    auto slotsOf(std::size_t index) const -> std::uint32_t
    {
        return this->board.upstreams.effectiveSlots(this->upstreams[index], this->board.now.mono);
    }

    /// Makes dispatches to the first `failingCount` upstreams end with `progress`; with
    /// `Progress::Answering`, by an answer of status 421.
    auto failFirst(std::size_t failingCount, Progress progress) -> void
    {
        this->onDispatch = [this, failingCount, progress](const Dispatch &dispatch) {
            const auto id = dispatch.exchange;
            const auto end = this->ids.begin() + static_cast<std::ptrdiff_t>(failingCount);
            const auto mustFail = std::find(this->ids.begin(), end, dispatch.upstream) != end;
            this->after(10ms, [this, id, mustFail, progress] {
                if (!mustFail) {
                    this->answer(id);
                } else if (progress == Progress::Answering) {
                    this->head(id, 421);
                } else {
                    this->report(id, progress);
                }
            });
        };
    }
};

} // namespace

TEST_CASE("an upstream with failing requests is ejected, and its slots return gradually")
{
    UpstreamHome home(4);
    home.failFirst(1, GENERATE(Progress::NotSent, Progress::Lost, Progress::Answering));
    home.sendRequests(100);
    REQUIRE(home.slotsOf(0) == 0);
    CHECK(!home.board.upstreams.isUsable(home.ids[0], home.board.now.mono));
    const auto before = home.dispatched[home.ids[0]];
    CHECK(before <= config::ejectFailures + 4);
    home.sendRequests(100);
    CHECK(home.dispatched[home.ids[0]] == before);
    home.serveIn(10ms);
    home.pass(config::ejectTime);
    CHECK(home.slotsOf(0) == 1);
    home.pass(config::rampTime / 2);
    CHECK(home.slotsOf(0) == 2);
    home.pass(config::rampTime / 2);
    CHECK(home.slotsOf(0) == 4);
}

TEST_CASE("an upstream that fails again after its ejection is ejected at once and for longer")
{
    UpstreamHome home(4);
    home.failFirst(1, Progress::Lost);
    home.sendRequests(100);
    REQUIRE(home.slotsOf(0) == 0);
    home.pass(config::ejectTime);
    const auto before = home.dispatched[home.ids[0]];
    home.sendRequests(200);
    CHECK(home.dispatched[home.ids[0]] == before + 1);
    home.pass(config::ejectTime);
    CHECK(home.slotsOf(0) == 0);
    home.pass(config::ejectTime);
    CHECK(home.slotsOf(0) == 1);
}

TEST_CASE("at most half of the upstreams of a cell are ejected")
{
    UpstreamHome home(4);
    home.failFirst(4, Progress::Lost);
    home.sendRequests(300);
    const auto usable = std::count_if(home.ids.begin(), home.ids.end(), [&](auto id) {
        return home.board.upstreams.isUsable(id, home.board.now.mono);
    });
    CHECK(usable == 2);
    CHECK(home.board.stats.ejections == 2);
}

TEST_CASE("an upstream that never answers is ejected once request deadlines pass")
{
    UpstreamHome home(2);
    home.row.deadline = 500ms;
    home.rows[0] = home.row;
    home.publish();
    home.onDispatch = [&](const Dispatch &dispatch) {
        if (dispatch.upstream != home.ids[0]) {
            home.after(10ms, [&home, id = dispatch.exchange] { home.answer(id); });
        }
    };
    home.sendRequests(2000);
    CHECK(home.slotsOf(0) == 0);
}

TEST_CASE("a new upstream is ramped up, while those of the first table are warm")
{
    UpstreamHome home(2);
    CHECK(home.slotsOf(0) == 4);
    home.addUpstream("new", 4);
    home.publish();
    CHECK(home.slotsOf(2) == 1);
    CHECK(home.slotsOf(0) == 4);
    home.pass(config::rampTime);
    CHECK(home.slotsOf(2) == 4);
}

TEST_CASE("a failing health probe is ignored while traffic succeeds")
{
    UpstreamHome home(2);
    const UpstreamReport failingProbe { home.ids[0], false, false, false, 1.0 };
    home.sendRequests(20);
    home.run(failingProbe);
    CHECK(home.slotsOf(0) == 4);
    home.pass(5s);
    home.run(failingProbe); // No traffic has succeeded recently to contradict the probe.
    CHECK(home.slotsOf(0) == 1);
    home.sendRequests(20);
    CHECK(home.slotsOf(0) == 4);
    const auto before = home.dispatched[home.ids[0]];
    home.sendRequests(100);
    home.pass(1s);
    CHECK(home.dispatched[home.ids[0]] - before == Approx(50).margin(2));
}

TEST_CASE("an upstream that sheds load is paused and then gets fewer concurrent requests")
{
    UpstreamHome home(2);
    home.onDispatch = nullptr;
    const auto first = home.arrive(home.row);
    home.head(first, 503, true, 2s);
    const auto sheddingIndex = home.sent.at(first).upstream == home.ids[0] ? 0U : 1U;
    CHECK(home.slotsOf(sheddingIndex) == 0);
    home.pass(2s);
    CHECK(home.slotsOf(sheddingIndex) == 2);
    home.serveIn(10ms);
    home.sendRequests(20);
    CHECK(home.slotsOf(sheddingIndex) == 2); // A few successes do not lift the limit.
    home.sendRequests(300);
    CHECK(home.slotsOf(sheddingIndex) == 4);
}

TEST_CASE("while all upstreams are paused, only requests whose deadline allows the wait are queued")
{
    UpstreamHome home(1);
    home.onDispatch = nullptr;
    const auto first = home.arrive(home.row);
    home.head(first, 503, true, 3s);
    CHECK(home.refused.count(home.arrive(home.row)) == 0);
    auto shortDeadline = home.row;
    shortDeadline.deadline = 2s;
    home.rows[0] = shortDeadline;
    home.publish();
    const auto refused = home.arrive(shortDeadline);
    REQUIRE(home.isRefused(refused, RefusalReason::DeadlineUnmet, Verdict::NotRun));
    CHECK(home.refused.at(refused).retryAfter == 1s);
}

TEST_CASE("a draining upstream gets no new requests and finishes its running ones")
{
    UpstreamHome home(2);
    home.onDispatch = nullptr;
    const auto first = home.arrive(home.row);
    const auto leaving = home.sent.at(first).upstream;
    for (auto &upstream : home.upstreams) {
        upstream.state = upstream.id == leaving ? UpstreamState::Draining : UpstreamState::Active;
    }
    home.publish();
    for (int i = 0; i < 6; ++i) {
        home.arrive(home.row);
    }
    CHECK(home.dispatched[leaving] == 1);
    CHECK(home.board.cells.queuedIn(home.cell) == 2);
    home.answer(first);
    CHECK(home.board.stats.answered == 1);
}

TEST_CASE("the home host probes each upstream once per probe period until its tenure ends")
{
    UpstreamHome home(3);
    home.probes.clear();
    home.pass(10s);
    CHECK(home.probes.size() == 30);
    home.board.tenure.end(home.cell);
    home.probes.clear();
    home.pass(3s);
    CHECK(home.probes.empty());
}
