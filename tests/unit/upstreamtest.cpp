/// Upstreams: what traffic shows goes before what probes say.
#include "cellhome.h"

#include <catch2/catch.hpp>

using namespace flamingograde;

namespace {

/// A home with `count` upstreams of four slots.
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

    auto load(int requests) -> void
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

    /// Has the dispatches to the first `bad` upstreams end by `progress`, or by a head of 421.
    auto breakFirst(std::size_t bad, Progress progress) -> void
    {
        this->onDispatch = [this, bad, progress](const Dispatch &dispatch) {
            const auto id = dispatch.exchange;
            const auto end = this->ids.begin() + static_cast<std::ptrdiff_t>(bad);
            const auto isBad = std::find(this->ids.begin(), end, dispatch.upstream) != end;
            this->after(10ms, [this, id, isBad, progress] {
                if (!isBad) {
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

TEST_CASE("failures of traffic eject an upstream, and it comes back step by step")
{
    UpstreamHome home(4);
    home.breakFirst(1, GENERATE(Progress::NotSent, Progress::Lost, Progress::Answering));
    home.load(100);
    REQUIRE(home.slotsOf(0) == 0);
    CHECK(!home.board.upstreams.isUsable(home.ids[0], home.board.now.mono));
    const auto before = home.dispatched[home.ids[0]];
    CHECK(before <= config::ejectFailures + 4);
    home.load(100);
    CHECK(home.dispatched[home.ids[0]] == before);
    home.serveIn(10ms);
    home.pass(config::ejectTime);
    CHECK(home.slotsOf(0) == 1);
    home.pass(config::rampTime / 2);
    CHECK(home.slotsOf(0) == 2);
    home.pass(config::rampTime / 2);
    CHECK(home.slotsOf(0) == 4);
}

TEST_CASE("an upstream that fails again on its return is ejected at once, for longer")
{
    UpstreamHome home(4);
    home.breakFirst(1, Progress::Lost);
    home.load(100);
    REQUIRE(home.slotsOf(0) == 0);
    home.pass(config::ejectTime);
    const auto before = home.dispatched[home.ids[0]];
    home.load(200);
    CHECK(home.dispatched[home.ids[0]] == before + 1);
    home.pass(config::ejectTime);
    CHECK(home.slotsOf(0) == 0);
    home.pass(config::ejectTime);
    CHECK(home.slotsOf(0) == 1);
}

TEST_CASE("never more than half of a cell is ejected")
{
    UpstreamHome home(4);
    home.breakFirst(4, Progress::Lost);
    home.load(300);
    const auto usable = std::count_if(home.ids.begin(), home.ids.end(), [&](auto id) {
        return home.board.upstreams.isUsable(id, home.board.now.mono);
    });
    CHECK(usable == 2);
    CHECK(home.board.stats.ejections == 2);
}

TEST_CASE("an upstream that answers nothing is blamed when deadlines pass")
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
    home.load(2000);
    CHECK(home.slotsOf(0) == 0);
}

TEST_CASE("an upstream new in the table is ramped up; those of the first table are warm")
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

TEST_CASE("misleading health is ignored while traffic succeeds")
{
    UpstreamHome home(2);
    const UpstreamReport lie { home.ids[0], false, false, false, 1.0 };
    home.load(20);
    home.run(lie);
    CHECK(home.slotsOf(0) == 4);
    home.pass(5s);
    home.run(lie); // Nothing has contradicted it for a while.
    CHECK(home.slotsOf(0) == 1);
    home.load(20);
    CHECK(home.slotsOf(0) == 4);
    const auto before = home.dispatched[home.ids[0]];
    home.load(100);
    home.pass(1s);
    CHECK(home.dispatched[home.ids[0]] - before == Approx(50).margin(2));
}

TEST_CASE("an upstream that sheds is paused and gets fewer requests at once")
{
    UpstreamHome home(2);
    home.onDispatch = nullptr;
    const auto first = home.arrive(home.row);
    home.head(first, 503, true, 2s);
    const auto shedder = home.sent.at(first).upstream == home.ids[0] ? 0U : 1U;
    CHECK(home.slotsOf(shedder) == 0);
    home.pass(2s);
    CHECK(home.slotsOf(shedder) == 2);
    home.serveIn(10ms);
    home.load(20);
    CHECK(home.slotsOf(shedder) == 2); // A few successes do not undo it.
    home.load(300);
    CHECK(home.slotsOf(shedder) == 4);
}

TEST_CASE("while all upstreams are paused only what can wait for them is queued")
{
    UpstreamHome home(1);
    home.onDispatch = nullptr;
    const auto first = home.arrive(home.row);
    home.head(first, 503, true, 3s);
    CHECK(home.refused.count(home.arrive(home.row)) == 0);
    auto hasty = home.row;
    hasty.deadline = 2s;
    home.rows[0] = hasty;
    home.publish();
    const auto refused = home.arrive(hasty);
    REQUIRE(home.isRefused(refused, RefusalReason::DeadlineUnmet, Verdict::NotRun));
    CHECK(home.refused.at(refused).retryAfter == 1s);
}

TEST_CASE("a draining upstream gets nothing new and finishes what it has")
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

TEST_CASE("the home probes each upstream once a period")
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
