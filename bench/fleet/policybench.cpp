#include "policybench.h"

#include "fairshare.h"

#include "harness/fleet.h"
#include "harness/tomlfile.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

using harness::Millis;

namespace {

constexpr const char *callersIp = "127.4.0.1";
constexpr Millis finishTimeout { 30000 };
constexpr Millis pauseBetweenSituations { 1000 }; ///< Lets queues empty and shed answers arrive.

/// Totals of an upstream's ledger.
struct UpstreamCounts
{
    double runs = 0;
    double overSlots = 0;
};

using Ledger = std::map<std::string, UpstreamCounts>;

auto readLedger(harness::Fleet &fleet) -> Ledger
{
    Ledger ledger;
    for (const auto &name : fleet.upstreamNames()) {
        const auto answer = fleet.upstream(name).call({ { "cmd", "ledger" }, { "limit", 1 } });
        const auto &totals = answer.at("totals");
        ledger[name] = { totals.at("runs"), totals.at("over_slots") };
    }
    return ledger;
}

auto deviation(double value, double expected) -> double
{
    return expected > 0 ? std::abs(value / expected - 1) : 0;
}

/// Runs the situations of one policy.
/// @remarks Not thread safe.
class PolicyRun
{
public:
    PolicyRun(harness::Loop &eventLoop, const nlohmann::json &chosen, const std::string &policy)
        : loop(eventLoop), settings(chosen), fleet(eventLoop, deploymentFor(chosen, policy))
    {
        this->fleet.startHosts();
    }

    /// Runs one situation. @returns its results.
    auto run(const nlohmann::json &situation) -> nlohmann::json
    {
        this->change(situation, "set");
        const auto before = readLedger(this->fleet);
        const auto names = this->startLoads(situation.at("level"));
        const int seconds = situation.value("seconds", this->settings.at("seconds").get<int>());
        this->loop.runFor(Millis(seconds * 1000));
        const auto rows = this->finishLoads(names);
        const auto after = readLedger(this->fleet);
        this->change(situation, "heal");
        this->loop.runFor(pauseBetweenSituations);
        auto measured = this->measureRows(rows, seconds);
        measureUpstreams(measured, before, after);
        measured["situation"] = situation.at("name");
        return measured;
    }

private:
    static auto deploymentFor(const nlohmann::json &settings, const std::string &policy)
            -> harness::Deployment
    {
        auto deployment = harness::Deployment::fromJson(settings.at("deployment"));
        deployment.settings["policy"] = { { "placement", policy } };
        return deployment;
    }

    auto change(const nlohmann::json &situation, const std::string &what) -> void
    {
        if (!situation.contains(what)) {
            return;
        }
        nlohmann::json command = situation.at(what);
        command["cmd"] = "set";
        this->fleet.upstream(situation.at("upstream")).call(command);
    }

    /// Starts a load for each row. @returns the loads' names by row.
    auto startLoads(double level) -> std::map<std::string, std::string>
    {
        std::map<std::string, std::string> names;
        ++this->runs;
        for (const auto &load : this->settings.at("load")) {
            const std::string row = load.at("row");
            const auto &record = this->fleet.table().find("row", row);
            const double rate = this->settings.at("capacity").get<double>() * level
                                * load.at("share").get<double>();
            names[row] = row + "-" + std::to_string(this->runs);
            this->fleet.callers().call({ { "cmd", "load" },
                                         { "name", names[row] },
                                         { "kind", "request" },
                                         { "address", this->fleet.rowAddress(row) },
                                         { "source", callersIp },
                                         { "idempotent", record.value("idempotent", true) },
                                         { "rate", rate },
                                         { "poisson", true },
                                         { "flows", load.value("flows", 0) },
                                         { "timeout_ms", record.at("deadline_ms") } });
        }
        return names;
    }

    /// Stops the loads and waits for their end. @returns their reports by row.
    auto finishLoads(const std::map<std::string, std::string> &names)
            -> std::map<std::string, nlohmann::json>
    {
        std::map<std::string, nlohmann::json> reports;
        auto &callers = this->fleet.callers();
        for (const auto &[row, name] : names) {
            callers.call({ { "cmd", "stop" }, { "name", name } });
        }
        for (const auto &[row, name] : names) {
            callers.call({ { "cmd", "wait" }, { "name", name } }, finishTimeout);
            reports[row] = callers.call({ { "cmd", "report" }, { "name", name } });
        }
        return reports;
    }

    auto measureRows(const std::map<std::string, nlohmann::json> &rows, int seconds)
            -> nlohmann::json
    {
        nlohmann::json measured { { "rows", nlohmann::json::object() } };
        std::vector<Demand> demands;
        double sent = 0;
        double answered = 0;
        double p50 = 0;
        double p99 = 0;
        double p999 = 0;
        for (const auto &[row, report] : rows) {
            const auto &latency = report.at("latency_ms");
            measured["rows"][row] = { { "sent", report.at("sent") },
                                      { "answered", report.at("answered") },
                                      { "refused", report.at("refused") },
                                      { "timeouts", report.at("timeouts") },
                                      { "unanswered", report.at("unanswered") },
                                      { "latency_ms", latency } };
            demands.push_back({ this->fleet.table().find("row", row).at("weight"),
                                report.at("sent").get<double>() });
            sent += report.at("sent").get<double>();
            answered += report.at("answered").get<double>();
            p50 = std::max(p50, latency.at("p50").get<double>());
            p99 = std::max(p99, latency.at("p99").get<double>());
            p999 = std::max(p999, latency.at("p999").get<double>());
        }
        const auto expected = fairShares(answered, demands);
        double imbalance = 0;
        std::size_t index = 0;
        for (const auto &[row, report] : rows) {
            imbalance = std::max(imbalance, deviation(report.at("answered"), expected[index++]));
        }
        measured["imbalance_rows"] = imbalance;
        measured["sent_per_second"] = sent / seconds;
        measured["goodput_per_second"] = answered / seconds;
        measured["share_within_deadline"] = sent > 0 ? answered / sent : 0;
        measured["latency_ms_worst_row"] = { { "p50", p50 }, { "p99", p99 }, { "p999", p999 } };
        return measured;
    }

    static auto measureUpstreams(nlohmann::json &measured, const Ledger &before,
                                 const Ledger &after) -> void
    {
        double total = 0;
        double overSlots = 0;
        for (const auto &[name, counts] : after) {
            total += counts.runs - before.at(name).runs;
            overSlots += counts.overSlots - before.at(name).overSlots;
        }
        const auto mean = total / static_cast<double>(after.size());
        double imbalance = 0;
        for (const auto &[name, counts] : after) {
            const auto runs = counts.runs - before.at(name).runs;
            imbalance = std::max(imbalance, deviation(runs, mean));
            measured["runs_by_upstream"][name] = runs;
        }
        measured["imbalance_upstreams"] = imbalance;
        measured["over_slots"] = overSlots;
        measured["runs"] = total;
    }

    harness::Loop &loop;
    const nlohmann::json &settings;
    harness::Fleet fleet;
    int runs = 0;
};

} // namespace

auto measurePolicies(harness::Loop &loop, const Progress &progress) -> nlohmann::json
{
    const auto settings = harness::readToml(std::string(FLAMINGOGRADE_BENCH) + "/policies.toml");
    auto measured = nlohmann::json::object();
    for (const std::string policy : settings.at("policies")) {
        PolicyRun run(loop, settings, policy);
        measured[policy] = nlohmann::json::array();
        for (const auto &situation : settings.at("situation")) {
            const auto result = run.run(situation);
            if (&situation == &settings.at("situation").front()) {
                continue;
            }
            measured[policy].push_back(result);
            progress.print(policy + ", " + situation.at("name").get<std::string>() + ": goodput "
                           + result.at("goodput_per_second").dump() + "/s, share answered in time "
                           + result.at("share_within_deadline").dump() + ", upstream imbalance "
                           + result.at("imbalance_upstreams").dump());
        }
    }
    return measured;
}
