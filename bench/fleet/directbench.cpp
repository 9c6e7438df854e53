#include "directbench.h"

#include "barefleet.h"

#include "harness/tomlfile.h"

#include <chrono>
#include <string>

using harness::Millis;

namespace {

constexpr const char *upstreamName = "echo-z1-1";
constexpr Millis calmTime { 3000 }; ///< Until the host is home of its cells.
constexpr Millis latencyTime { 3000 };
constexpr Millis stepTime { 1500 };
constexpr Millis finishLimit { 30000 };
constexpr double latencyRate = 500;
constexpr double loneRate = 20;       ///< So few that a host is idle between two requests.
constexpr double firstRate = 8000;    ///< Of requests on kept connections.
constexpr double firstNewRate = 2000; ///< Of requests on new connections.
constexpr double rateFactor = 1.4;
constexpr double lastRate = 120000;
constexpr double sustainedShare = 0.98; ///< Of the requests that were due, answered.
constexpr double sustainedP99 = 100;    ///< Milliseconds.
constexpr int flows = 200;
constexpr int feeds = 6000;
constexpr double feedRate = 6000; ///< Openings asked for a second.
constexpr double microseconds = 1e6;

/// One load: where to, and how.
struct LoadPlan
{
    std::string address;
    double rate = 0;
    Millis time { 0 };
    int flowCount = flows;
    int reuse = 64; ///< Requests on one connection.
};

auto ratios(const nlohmann::json &through, const nlohmann::json &straight) -> nlohmann::json
{
    nlohmann::json result;
    for (const char *field : { "p50", "p99", "p999" }) {
        result[field] = through.at("latency_ms").at(field).get<double>()
                        / straight.at("latency_ms").at(field).get<double>();
    }
    return result;
}

/// Runs loads against a fleet of one host.
/// @remarks Not thread safe.
class DirectRun
{
public:
    explicit DirectRun(harness::Loop &eventLoop)
        : loop(eventLoop),
          fleet(eventLoop, harness::Deployment::fromJson(harness::readToml(
                                   std::string(FLAMINGOGRADE_BENCH) + "/direct.toml")))
    {
        this->fleet.startHosts();
        this->loop.runFor(calmTime);
    }

    [[nodiscard]] auto straight() -> std::string
    {
        return this->fleet.upstreamAddress(upstreamName);
    }
    [[nodiscard]] auto throughHost(const std::string &row) -> std::string
    {
        return this->fleet.listenerOf(this->fleet.plan().hosts.front().name, row);
    }

    auto send(const LoadPlan &plan) -> nlohmann::json
    {
        const auto name = this->nextName();
        auto &callers = this->fleet.callers();
        callers.call({ { "cmd", "load" },
                       { "name", name },
                       { "kind", "request" },
                       { "address", plan.address },
                       { "host", "echo" },
                       { "rate", plan.rate },
                       { "flows", plan.flowCount },
                       { "reuse", plan.reuse } });
        this->loop.runFor(plan.time);
        callers.call({ { "cmd", "stop" }, { "name", name } }, finishLimit);
        callers.call({ { "cmd", "wait" }, { "name", name } }, finishLimit);
        return callers.call({ { "cmd", "report" }, { "name", name } }, finishLimit);
    }

    /// Sends the same load both ways. @returns the latencies and their ratios.
    auto compare(double rate) -> nlohmann::json
    {
        const auto through = this->send({ this->throughHost("reads"), rate, latencyTime });
        const auto straight = this->send({ this->straight(), rate, latencyTime });
        return { { "rate", rate },
                 { "answered", through.at("answered") },
                 { "through_ms", through.at("latency_ms") },
                 { "straight_ms", straight.at("latency_ms") },
                 { "ratio", ratios(through, straight) } };
    }

    /// Raises the rate from that of `plan` until it is not sustained in either of two tries.
    /// @returns the last rate that was.
    auto largestRate(LoadPlan plan) -> double
    {
        double sustained = 0;
        for (; plan.rate <= lastRate; plan.rate *= rateFactor) {
            if (!this->isSustained(plan) && !this->isSustained(plan)) {
                break;
            }
            sustained = plan.rate;
        }
        return sustained;
    }

    /// Opens feeds through the host. @returns how many were opened a second.
    auto feedsPerSecond() -> double
    {
        const auto name = this->nextName();
        auto &callers = this->fleet.callers();
        const auto begin = std::chrono::steady_clock::now();
        callers.call({ { "cmd", "load" },
                       { "name", name },
                       { "kind", "feed" },
                       { "address", this->throughHost("feeds") },
                       { "rate", feedRate },
                       { "flows", feeds } });
        callers.call({ { "cmd", "wait" }, { "name", name } }, finishLimit);
        const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin;
        callers.call({ { "cmd", "stop" }, { "name", name } }, finishLimit);
        return feeds / passed.count();
    }

    auto cpuSeconds() -> double
    {
        return this->fleet.metrics().begin()->second.at("flamingograde_process_cpu_seconds_total");
    }

private:
    auto isSustained(const LoadPlan &plan) -> bool
    {
        const auto report = this->send(plan);
        const auto due = plan.rate * static_cast<double>(plan.time.count()) / 1000;
        return report.at("answered").get<double>() >= due * sustainedShare
               && report.at("latency_ms").at("p99") <= sustainedP99;
    }

    auto nextName() -> std::string { return "load-" + std::to_string(++this->loads); }

    harness::Loop &loop;
    BareFleet fleet;
    int loads = 0;
};

} // namespace

auto measureDirect(harness::Loop &loop, const Progress &progress) -> nlohmann::json
{
    DirectRun run(loop);
    nlohmann::json measured;
    const auto reads = run.throughHost("reads");
    measured["lone"] = run.compare(loneRate);
    const auto cpuBefore = run.cpuSeconds();
    measured["steady"] = run.compare(latencyRate);
    const auto cpu = run.cpuSeconds() - cpuBefore;
    measured["cpu_us_per_request"] =
            cpu * microseconds / measured["steady"]["answered"].get<double>();
    progress.say("latency through a host over straight, p50: lone "
                 + measured["lone"]["ratio"]["p50"].dump() + ", steady "
                 + measured["steady"]["ratio"]["p50"].dump());
    const auto most = run.largestRate({ reads, firstRate, stepTime });
    const auto mostStraight = run.largestRate({ run.straight(), firstRate, stepTime });
    measured["requests_per_second"] = { { "through", most },
                                        { "straight", mostStraight },
                                        { "ratio", most / mostStraight } };
    progress.say("requests a second through a host " + std::to_string(most) + ", straight "
                 + std::to_string(mostStraight));
    measured["new_flows_per_second"] = run.largestRate({ reads, firstNewRate, stepTime, 0, 1 });
    measured["new_feeds_per_second"] = run.feedsPerSecond();
    progress.say("new flows a second " + measured["new_flows_per_second"].dump() + ", feeds "
                 + measured["new_feeds_per_second"].dump());
    return measured;
}
