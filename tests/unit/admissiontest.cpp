/// Admission control: slots, weights, urgency, deadlines and queue limits.
#include "cellhome.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace flamingograde;

namespace {

/// Runs for a minute with 30 requests of every row pending: each answered one is replaced.
/// @param times the service time of each row.
/// @returns the slot time in seconds that each row used.
auto runBacklogs(CellHome &home, const std::vector<Duration> &times) -> std::vector<double>
{
    std::vector<double> used(times.size(), 0);
    std::map<std::string, std::size_t> indices;
    for (std::size_t i = 0; i < home.rows.size(); ++i) {
        indices[home.rows[i].name] = i;
    }
    home.onDispatch = [&](const Dispatch &dispatch) {
        const auto index = indices.at(dispatch.rowName);
        const auto id = dispatch.exchange;
        home.after(times[index], [&, index, id] {
            used[index] += std::chrono::duration<double>(times[index]).count();
            home.answer(id);
            home.arrive(home.rows[index]);
        });
    };
    for (const auto &row : home.rows) {
        for (int i = 0; i < 30; ++i) {
            home.arrive(row);
        }
    }
    home.pass(60s);
    return used;
}

/// Returns the share of one row in the total slot time.
auto shareOf(const std::vector<double> &used, std::size_t index) -> double
{
    return used[index] / std::accumulate(used.begin(), used.end(), 0.0);
}

/// A cell home with one upstream of two slots, and a row whose requests take 100 ms, which the
/// service time estimate already knows.
struct SingleUpstreamHome : CellHome
{
    Row row;

    explicit SingleUpstreamHome(Duration deadline, std::uint32_t queue = 1000)
    {
        auto &made = this->addRow("votes");
        made.deadline = deadline;
        made.queue = queue;
        this->row = made;
        this->addUpstream("a", 2);
        this->start();
        this->serveIn(100ms);
        this->arrive(this->row); // Gives the first service time sample.
        this->pass(200ms);
    }
};

} // namespace

TEST_CASE("running requests never exceed the slots, and upstreams share requests in proportion to "
          "slots")
{
    CellHome home;
    const auto row = home.addRow("votes");
    const auto small = home.addUpstream("a", 2);
    const auto large = home.addUpstream("b", 6);
    home.start();
    home.serveIn(20ms);
    for (int i = 0; i < 2000; ++i) {
        home.arrive(row);
        home.pass(i % 100 < 50 ? 1ms : 4ms);
    }
    home.pass(2s);
    CHECK(home.order.size() == 2000);
    CHECK(home.most[small] == 2);
    CHECK(home.most[large] == 6);
    CHECK(home.dispatched[large] / 2000.0 == Approx(0.75).margin(0.02));
    const auto before = home.dispatched[small];
    for (int i = 0; i < 800; ++i) { // One request at a time.
        home.arrive(row);
        home.pass(30ms);
    }
    CHECK((home.dispatched[small] - before) / 800.0 == Approx(0.25).margin(0.01));
}

TEST_CASE("rows with backlogs share slot time in proportion to weight within two percent")
{
    CellHome home;
    home.addRow("votes").weight = 5;
    home.addRow("papers").weight = 3;
    home.addRow("notes").weight = 2;
    home.rows[2].urgency = 9;
    for (const auto *name : { "a", "b", "c" }) {
        home.addUpstream(name, 2);
    }
    home.start();
    const auto times = GENERATE(std::vector<Duration> { 20ms, 20ms, 20ms },
                                std::vector<Duration> { 10ms, 60ms, 25ms });
    const auto used = runBacklogs(home, times);
    CHECK(shareOf(used, 0) == Approx(0.5).margin(0.01));
    CHECK(shareOf(used, 1) == Approx(0.3).margin(0.01));
    CHECK(shareOf(used, 2) == Approx(0.2).margin(0.01));
}

TEST_CASE("an urgent row is served first but does not catch up on turns missed while idle")
{
    CellHome home;
    const auto calm = home.addRow("papers");
    home.addRow("votes").urgency = 5;
    const auto urgent = home.rows.back();
    home.addUpstream("a", 1);
    home.start();
    home.serveIn(20ms);
    for (int i = 0; i < 20; ++i) {
        home.arrive(calm);
    }
    home.pass(110ms);
    const auto before = home.order.size();
    const auto first = home.arrive(urgent);
    for (int i = 0; i < 9; ++i) {
        home.arrive(urgent);
    }
    home.pass(200ms);
    CHECK(home.order[before] == first);
    const auto since = home.order.begin() + static_cast<std::ptrdiff_t>(before)
                       - 1; // Includes the running request.
    const auto urgentOfSix = std::count_if(
            since, since + 6, [&](auto id) { return home.sent.at(id).rowName == urgent.name; });
    CHECK(urgentOfSix == 3); // Rows of equal weight alternate.
}

TEST_CASE("a request that cannot meet its deadline is refused at once, and a retry after "
          "Retry-After runs")
{
    SingleUpstreamHome home(1500ms);
    ExchangeId last;
    for (int i = 0; i < 60; ++i) { // 28 are answered within 1.5 s, two every 100 ms.
        last = home.arrive(home.row);
    }
    REQUIRE(home.isRefused(last, RefusalReason::DeadlineUnmet, Verdict::NotRun));
    CHECK(home.refused.size() == 32);
    const auto pause = home.refused.at(last).retryAfter;
    CHECK(pause >= config::retryAfterMin);
    home.pass(pause);
    const auto again = home.arrive(home.row);
    home.pass(1500ms);
    CHECK(home.isSent(again));
    CHECK(home.refused.size() == 32); // No admitted request missed its deadline.
    CHECK(home.board.stats.answered == 30);
}

TEST_CASE("Retry-After of a refused request is computed from the queue")
{
    SingleUpstreamHome home(30s);
    for (int i = 0; i < 400; ++i) { // 20 s of work.
        home.arrive(home.row);
    }
    auto shortDeadline = home.row;
    shortDeadline.deadline = 10s;
    home.rows[0] = shortDeadline;
    home.publish();
    const auto refused = home.arrive(shortDeadline);
    REQUIRE(home.isRefused(refused, RefusalReason::DeadlineUnmet, Verdict::NotRun));
    const auto pause = home.refused.at(refused).retryAfter;
    CHECK(std::chrono::duration<double>(pause).count() == Approx(10).margin(0.5));
    home.pass(pause - 500ms);
    CHECK(home.refused.count(home.arrive(shortDeadline)) == 1);
    home.pass(600ms);
    CHECK(home.refused.count(home.arrive(shortDeadline)) == 0);
}

TEST_CASE("a full row queue refuses requests, with Retry-After set to when it has room")
{
    SingleUpstreamHome home(20s, 40);
    ExchangeId last;
    for (int i = 0; i < 60; ++i) {
        last = home.arrive(home.row);
    }
    CHECK(home.board.cells.queuedIn(home.cell) == 40);
    REQUIRE(home.isRefused(last, RefusalReason::QueueFull, Verdict::NotRun));
    CHECK(home.refused.size() == 18);
    home.pass(home.refused.at(last).retryAfter);
    CHECK(home.refused.count(home.arrive(home.row)) == 0);
    home.pass(5s);
    for (int i = 0; i < 200; ++i) {
        last = home.arrive(home.row);
    }
    // The 158 requests that are refused get staggered Retry-After times; the last gets the longest.
    const auto pause = home.refused.at(last).retryAfter;
    CHECK(std::chrono::duration<double>(pause).count() == Approx(7.9).margin(0.2));
}

TEST_CASE("a row runs no more than its concurrency limit")
{
    CellHome home;
    home.addRow("papers").concurrent = 2;
    const auto row = home.rows.back();
    home.addUpstream("a", 8);
    home.start();
    home.serveIn(10ms);
    for (int i = 0; i < 20; ++i) {
        home.arrive(row);
        CHECK(home.board.cells.runningIn(home.cell) <= 2);
    }
    home.pass(200ms);
    CHECK(home.board.stats.answered == 20);
}

TEST_CASE("requests whose deadline passed while the process was paused are refused, not dispatched")
{
    SingleUpstreamHome home(1s);
    home.onDispatch = nullptr;
    const auto running = home.arrive(home.row);
    home.arrive(home.row);
    const auto waiting = home.arrive(home.row);
    home.board.now.mono += 3s; // The process was paused; its first event is an answer.
    home.board.now.wall += 3s;
    home.answer(running);
    CHECK(!home.isSent(waiting));
    CHECK(home.isRefused(waiting, RefusalReason::DeadlineUnmet, Verdict::NotRun));
    const auto fresh = home.arrive(home.row);
    const auto expires = home.board.now.wall + 1s;
    CHECK(!home.isSent(fresh)); // The upstream may still run the cancelled requests.
    home.pass(config::cancelGrace + config::tickPeriod);
    REQUIRE(home.isSent(fresh));
    CHECK(home.sent.at(fresh).expires == expires);
    CHECK(home.sent.at(fresh).remaining < 1s);
}

TEST_CASE("requests wait while the host claims the cell; after its tenure ended, they are placed "
          "again, or refused if they were relayed")
{
    CellHome home;
    const auto row = home.addRow("votes");
    home.addUpstream("a", 1);
    home.publish();
    home.board.tenure.setClaiming(home.cell, true);
    const auto first = home.arrive(row);
    const auto second = home.arrive(row);
    const auto relayed = home.arrive(row, {}, Origin::Relay);
    CHECK(home.order.empty());
    home.beginTenure(0s);
    home.run(Tick {});
    CHECK(home.order == std::vector<ExchangeId> { first });
    home.board.tenure.end(home.cell);
    home.run(Tick {});
    CHECK(home.placed == std::vector<ExchangeId> { second });
    CHECK(home.isRefused(relayed, RefusalReason::WrongHome, Verdict::NotRun));
    CHECK(home.board.cells.queuedIn(home.cell) == 0);
    CHECK(home.board.cells.runningIn(home.cell) == 1);
}

TEST_CASE("a bound request waits for its upstream without delaying other requests")
{
    CellHome home;
    const auto row = home.addRow("votes");
    const auto one = home.addUpstream("a", 1);
    home.addUpstream("b", 1);
    home.start();
    const auto arriveBound = [&] {
        const auto id = home.add(home.rows[0]);
        home.board.exchanges.find(id)->bound = true;
        home.board.exchanges.find(id)->upstream = one;
        home.board.toAdmit.push_back(id);
        home.run(Tick {});
        return id;
    };
    const auto first = arriveBound();
    const auto second = arriveBound();
    const auto free = home.arrive(row);
    CHECK(home.sent.at(first).upstream == one);
    CHECK(!home.isSent(second));
    CHECK(home.isSent(free));
    home.pass(100ms);
    home.answer(first); // Gives the first service time sample.
    CHECK(home.sent.at(second).upstream == one);
    home.pass(100ms);
    home.answer(second);
    home.rows[0].deadline = 250ms;
    home.publish();
    std::vector<ExchangeId> bound(5);
    std::generate(bound.begin(), bound.end(), arriveBound);
    CHECK(home.refused.count(bound[1]) == 0);
    CHECK(home.isRefused(bound.back(), RefusalReason::DeadlineUnmet, Verdict::NotRun));
}

TEST_CASE("a full cell refuses the newest request of its least urgent row")
{
    CellHome home;
    home.addRow("papers").queue = 30000;
    home.addRow("votes").urgency = 1;
    const auto papers = home.rows[0];
    const auto votes = home.rows[1];
    home.addUpstream("a", 1);
    home.start();
    ExchangeId newest;
    for (std::size_t i = 0; i <= config::cellQueueMax; ++i) {
        newest = home.arrive(papers);
    }
    const auto urgent = home.arrive(votes);
    CHECK(home.refused.count(urgent) == 0);
    CHECK(home.isRefused(newest, RefusalReason::QueueFull, Verdict::NotRun));
    CHECK(home.refused.size() == 1);
}
