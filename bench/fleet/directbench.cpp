#include "directbench.h"

#include "barefleet.h"

#include "harness/tomlfile.h"

#include <chrono>
#include <string>

using harness::Millis;

namespace {

constexpr const char *upstreamName = "echo-z1-1";
constexpr Millis warmUpTime { 3000 }; ///< Until the host is the home of its cells.
constexpr Millis latencyTime { 3000 };
constexpr Millis stepTime { 1500 };
constexpr Millis finishTimeout { 30000 };
constexpr double latencyRate = 500;
constexpr double loneRate = 20;      ///< Requests per second; the host is idle between them.
constexpr double initialRate = 8000; ///< Requests per second on kept-alive connections.
constexpr double initialNewConnectionRate = 2000; ///< Requests per second on new connections.
constexpr double rateFactor = 1.4;
constexpr double maxRate = 120000;
constexpr double sustainedShare = 0.98; ///< Minimum answered share of the due requests.
constexpr double sustainedP99 = 100;    ///< Maximum 99th percentile of latency, in milliseconds.
constexpr int flows = 200;
constexpr int feeds = 6000;
constexpr double feedRate = 6000; ///< Requested openings per second.
constexpr double microseconds = 1e6;

/// Target address and parameters of one load.
struct LoadPlan
{
    std::string address;
    double rate = 0;
    Millis time { 0 };
    int flowCount = flows;
    int reuse = 64; ///< Requests per connection.
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
        this->loop.runFor(warmUpTime);
    }

    [[nodiscard]] auto directAddress() -> std::string
    {
        return this->fleet.upstreamAddress(upstreamName);
    }
    [[nodiscard]] auto hostAddress(const std::string &row) -> std::string
    {
        return this->fleet.listenerAddress(this->fleet.plan().hosts.front().name, row);
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
        callers.call({ { "cmd", "stop" }, { "name", name } }, finishTimeout);
        callers.call({ { "cmd", "wait" }, { "name", name } }, finishTimeout);
        return callers.call({ { "cmd", "report" }, { "name", name } }, finishTimeout);
    }

    /// Sends the same load through the host and directly. @returns the latencies and their ratios.
    auto compare(double rate) -> nlohmann::json
    {
        const auto through = this->send({ this->hostAddress("reads"), rate, latencyTime });
        const auto straight = this->send({ this->directAddress(), rate, latencyTime });
        return { { "rate", rate },
                 { "answered", through.at("answered") },
                 { "through_ms", through.at("latency_ms") },
                 { "straight_ms", straight.at("latency_ms") },
                 { "ratio", ratios(through, straight) } };
    }

    /// Raises the rate, starting at that of `plan`, until neither of two attempts sustains it.
    /// @returns the last sustained rate; 0 if there was none.
    auto findMaxRate(LoadPlan plan) -> double
    {
        double sustained = 0;
        for (; plan.rate <= maxRate; plan.rate *= rateFactor) {
            if (!this->isSustained(plan) && !this->isSustained(plan)) {
                break;
            }
            sustained = plan.rate;
        }
        return sustained;
    }

    /// Opens feeds through the host. @returns the number of feeds opened per second.
    auto measureFeedOpenRate() -> double
    {
        const auto name = this->nextName();
        auto &callers = this->fleet.callers();
        const auto begin = std::chrono::steady_clock::now();
        callers.call({ { "cmd", "load" },
                       { "name", name },
                       { "kind", "feed" },
                       { "address", this->hostAddress("feeds") },
                       { "rate", feedRate },
                       { "flows", feeds } });
        callers.call({ { "cmd", "wait" }, { "name", name } }, finishTimeout);
        const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin;
        callers.call({ { "cmd", "stop" }, { "name", name } }, finishTimeout);
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
    const auto reads = run.hostAddress("reads");
    measured["lone"] = run.compare(loneRate);
    const auto cpuBefore = run.cpuSeconds();
    measured["steady"] = run.compare(latencyRate);
    const auto cpu = run.cpuSeconds() - cpuBefore;
    measured["cpu_us_per_request"] =
            cpu * microseconds / measured["steady"]["answered"].get<double>();
    progress.print("p50 latency ratio, through a host to straight: lone "
                   + measured["lone"]["ratio"]["p50"].dump() + ", steady "
                   + measured["steady"]["ratio"]["p50"].dump());
    const auto maxRateThrough = run.findMaxRate({ reads, initialRate, stepTime });
    const auto maxRateStraight = run.findMaxRate({ run.directAddress(), initialRate, stepTime });
    measured["requests_per_second"] = { { "through", maxRateThrough },
                                        { "straight", maxRateStraight },
                                        { "ratio", maxRateThrough / maxRateStraight } };
    progress.print("requests per second through a host " + std::to_string(maxRateThrough)
                   + ", straight " + std::to_string(maxRateStraight));
    measured["new_flows_per_second"] =
            run.findMaxRate({ reads, initialNewConnectionRate, stepTime, 0, 1 });
    measured["new_feeds_per_second"] = run.measureFeedOpenRate();
    progress.print("new flows per second through a host " + measured["new_flows_per_second"].dump()
                   + ", new feeds per second " + measured["new_feeds_per_second"].dump());
    return measured;
}
