/// Admission of flows under load: what the rows and callers of a service get, without a network.
#include "core/flowadmission/serviceload.h"
#include "core/loadreports/demandledger.h"
#include "core/packets/ringsubset.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// One of a service's rows, with its offered load and what its callers got.
struct Load
{
    std::uint32_t urgency = 0;
    double perSecond = 0; ///< Of all callers together, at one host.
    Duration work = 60ms; ///< Mean time in a slot.
    std::uint32_t callers = 50;
    std::uint32_t firstIp = 1;
    std::uint64_t asked = 0;
    std::uint64_t inTime = 0;

    [[nodiscard]] auto part() const -> double
    {
        return static_cast<double>(this->inTime) / static_cast<double>(this->asked);
    }
};

/// A service with one queue, behind a single host; a request that is refused comes back twice.
class PlayedService
{
public:
    explicit PlayedService(std::size_t slotCount) : slots(slotCount, MonoTime(0s)) {}

    /// Offers the loads for `length` in steps of a millisecond; counts requests that begin after
    /// `settling`.
    auto play(std::vector<Load> &loads, Duration length, Duration settling = 2s) -> void
    {
        for (Duration passed(0); passed < length; passed += 1ms) {
            this->now += 1ms;
            this->endRequests();
            if (passed % config::tickPeriod == Duration(0)) {
                this->tick();
            }
            for (auto &load : loads) {
                std::poisson_distribution<int> arrivals(load.perSecond / 1000);
                for (auto left = arrivals(this->random); left > 0; --left) {
                    this->ask(load, passed >= settling);
                }
            }
        }
    }

    std::uint64_t refusals = 0;
    std::map<std::uint32_t, std::uint64_t> admittedOf; ///< By caller.

private:
    static constexpr Duration target = 400ms;

    auto tick() -> void
    {
        this->load.tick(this->now);
        this->load.fleetLoad =
                static_cast<double>(this->ends.size()) / static_cast<double>(this->slots.size());
    }

    auto ask(Load &row, bool isCounted) -> void
    {
        const auto ip =
                row.firstIp
                + std::uniform_int_distribution<std::uint32_t>(0, row.callers - 1)(this->random);
        row.asked += isCounted ? 1 : 0;
        for (auto attempt = 0; attempt < 3; ++attempt) {
            const HostRoom room { static_cast<double>(this->slots.size()),
                                  static_cast<std::uint32_t>(this->ends.size()),
                                  this->load.fleetLoad };
            const FlowRequest request { ip, row.urgency, target };
            if (isAdmitted(this->load.decide(request, room, this->now))) {
                this->admittedOf[ip] += isCounted ? 1 : 0;
                row.inTime += this->run(row) <= target && isCounted ? 1 : 0;
                return;
            }
            ++this->refusals;
        }
    }

    /// Runs a request in the slot that is free first. @returns its response time.
    auto run(const Load &row) -> Duration
    {
        std::lognormal_distribution<double> spread(-0.125, 0.5);
        const auto slot = std::min_element(this->slots.begin(), this->slots.end());
        const auto before =
                static_cast<double>(this->ends.size()) / static_cast<double>(this->slots.size());
        const std::chrono::duration<double, std::micro> work = row.work * spread(this->random);
        *slot = std::max(*slot, this->now) + std::chrono::duration_cast<Duration>(work);
        this->ends.push_back({ *slot, *slot - this->now, before });
        this->load.noteRequest();
        return *slot - this->now;
    }

    auto endRequests() -> void
    {
        for (auto &end : this->ends) {
            if (end.at <= this->now) {
                this->load.noteResponse(end.took, end.loadBefore, this->now);
            }
        }
        this->ends.erase(std::remove_if(this->ends.begin(), this->ends.end(),
                                        [&](const auto &end) { return end.at <= this->now; }),
                         this->ends.end());
    }

    struct End
    {
        MonoTime at;
        Duration took;
        double loadBefore;
    };

    std::vector<MonoTime> slots; ///< When each is free.
    std::vector<End> ends;       ///< Of the requests under way.
    ServiceLoad load;
    MonoTime now { 1000s };
    std::mt19937_64 random { 7 };
};

constexpr std::size_t slotCount = 24;
/// Requests of 60 ms that the slots can run in a second.
constexpr double capacity = slotCount / 0.060;

} // namespace

TEST_CASE("no flow is refused while a service has room", "[flow-admission]")
{
    PlayedService service(slotCount);
    std::vector<Load> loads { { 0, 0.5 * capacity }, { 8, 0.2 * capacity } };
    service.play(loads, 20s);
    CHECK(service.refusals == 0);
}

TEST_CASE("the rows of an overloaded service get nine tenths of the best division",
          "[flow-admission]")
{
    for (const auto overload : { 1.2, 2.0, 5.0 }) {
        PlayedService service(slotCount);
        std::vector<Load> loads { { 0, 0.6 * overload * capacity },
                                  { 8, 0.4 * overload * capacity } };
        service.play(loads, 12s);
        INFO("overload " << overload);
        // The best division serves the more urgent row, worth twice as much, first.
        const auto urgent = std::min(1.0, 1 / (0.4 * overload));
        const auto other = std::max(0.0, 1 / overload - 0.4 * urgent) / 0.6;
        const auto worthOf = [](double low, double high) { return 0.6 * low + 0.8 * high; };
        CHECK(worthOf(loads[0].part(), loads[1].part()) >= 0.9 * worthOf(other, urgent));
        CHECK(loads[1].part() >= 0.95 * urgent);
        CHECK(loads[0].inTime > 0); // The floor: no row starves.
    }
}

TEST_CASE("a burst of one row costs a more urgent row nothing", "[flow-admission]")
{
    PlayedService service(slotCount);
    std::vector<Load> loads { { 0, 3.0 * capacity }, { 8, 0.25 * capacity } };
    service.play(loads, 12s);
    CHECK(loads[1].part() >= 0.99);
    CHECK(loads[0].part() >= 0.9 * 0.75 / 3.0);
}

TEST_CASE("a caller with ten times the traffic of others gets no more than 1.5 of their shares",
          "[flow-admission]")
{
    PlayedService service(slotCount);
    std::vector<Load> loads { { 0, 50.0 / 60 * 2 * capacity, 60ms, 50, 100 },
                              { 0, 10.0 / 60 * 2 * capacity, 60ms, 1, 1 } };
    service.play(loads, 20s);
    const auto greedy = static_cast<double>(service.admittedOf[1]);
    std::uint64_t others = 0;
    for (const auto &[ip, count] : service.admittedOf) {
        others += ip == 1 ? 0 : count;
    }
    CHECK(greedy <= 1.5 * static_cast<double>(others) / 50);
    CHECK(loads[0].part() >= 0.9 * 0.49); // The room goes to the others.
}

TEST_CASE("after an overload has ended no flow is refused", "[flow-admission]")
{
    PlayedService service(slotCount);
    std::vector<Load> burst { { 0, 3.0 * capacity } };
    service.play(burst, 5s);
    REQUIRE(service.refusals > 0);
    std::vector<Load> calm { { 0, 0.6 * capacity } };
    service.play(calm, 500ms);
    const auto before = service.refusals;
    service.play(calm, 10s);
    CHECK(service.refusals == before);
}

TEST_CASE("a row whose target cannot be met keeps the slots busy", "[flow-admission]")
{
    ServiceLoad load;
    const MonoTime now(1000s);
    for (auto i = 0; i < 100; ++i) {
        load.noteResponse(2s, 0.5, now);
    }
    const FlowRequest request { 1, 0, 100ms };
    CHECK(isAdmitted(load.assess(request, { 10, 13, 1.5 }, now)));
    CHECK_FALSE(isAdmitted(load.assess(request, { 10, 16, 1.7 }, now)));
    // Urgencies that no row may have count as the highest.
    CHECK(load.limitFor({ 1, ~0U, 100ms }, now) == load.limitFor({ 1, 9, 100ms }, now));
}

TEST_CASE("a host with a single request is not full by chance", "[flow-admission]")
{
    const HostRoom small { 0.3, 0, 0.5 };
    CHECK(small.loadWithOneMore() == 0);
    CHECK(HostRoom { 0.3, 0, 2.0 }.loadWithOneMore() > config::roomPerSlot);
}

TEST_CASE("demand reports add up by service, and end with their age", "[demand]")
{
    const auto live = ServiceId::ofName("live");
    const auto near = ZoneId::ofName("near");
    const auto far = ZoneId::ofName("far");
    const MonoTime now(100s);
    DemandLedger ledger;
    ledger.notePart(HostId(1), { { live, 10, 3 } }, now);
    ledger.notePart(HostId(2), { { live, 20, 4 } }, now - 1500ms);
    ledger.notePart(HostId(2), { { live, 30, 5 } }, now - 1000ms);
    ledger.noteZone({ far, 500ms, { { live, 100, 50 } } }, now);
    ledger.noteZone({ far, 900ms, { { live, 7, 7 } } }, now); // Older, by another way.
    const auto sumAt = [&](MonoTime at) {
        DemandSums sums;
        ledger.addParts(sums, at, [](HostId) { return true; });
        ledger.addZonesExcept(sums, near, at);
        return sums[live];
    };
    CHECK(sumAt(now).requestsPerSecond == 140);
    CHECK(sumAt(now).underWay == 58);
    CHECK(sumAt(now).oldest == 1000ms);
    CHECK(sumAt(now + 1100ms).requestsPerSecond == 110);
    CHECK(sumAt(now + 1600ms).requestsPerSecond == 10);
    ledger.forgetOld(now + 5s);
    CHECK(ledger.zones(near, now).empty());
}

TEST_CASE("a zone sends away what it lacks slots for, and full zones send each other nothing",
          "[spill]")
{
    CHECK(spillPart({ 40, 90 }, 60, 240) == 0);
    CHECK(spillPart({ 96, 150 }, 60, 240) == Approx(0.5));
    CHECK(spillPart({ 120, 480 }, 60, 240) == 0);
    CHECK(spillPart({ 180, 480 }, 60, 240) == Approx(1.0 / 3));
    CHECK(spillPart({ 50, 50 }, 60, 60) == 0);
    CHECK(spillPart({ 50, 90 }, 0, 180) == 1);
}

TEST_CASE("the subsets of all hosts cover each upstream equally", "[subset]")
{
    const auto hosts = GENERATE(1U, 3U, 17U, 97U);
    const auto upstreams = GENERATE(1U, 5U, 30U, 1000U);
    std::vector<double> covered(upstreams, 0);
    for (std::size_t rank = 0; rank < hosts; ++rank) {
        for (const auto &[position, part] :
             ringSubset(rank, hosts, std::vector<bool>(upstreams, true))) {
            covered.at(position) += part;
        }
    }
    const auto [least, most] = std::minmax_element(covered.begin(), covered.end());
    CHECK(*most - *least < 1e-6 * *most);
}

TEST_CASE("a host passes over unusable upstreams, and still has enough", "[subset]")
{
    std::vector<bool> usable(30, true);
    std::fill(usable.begin(), usable.begin() + 5, false);
    const auto subset = ringSubset(0, 17, usable);
    CHECK(std::none_of(subset.begin(), subset.end(),
                       [](const auto &part) { return part.position < 5; }));
    const auto width = std::accumulate(subset.begin(), subset.end(), 0.0,
                                       [](double sum, const auto &it) { return sum + it.part; });
    CHECK(width == Approx(30.0 / 17 * config::subsetHosts));
    CHECK(ringSubset(3, 17, std::vector<bool>(30, false)).empty());
}

} // namespace flamingograde
