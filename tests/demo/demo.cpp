#include "demo.h"

#include "harness/condition.h"
#include "harness/ledgercheck.h"
#include "harness/process.h"
#include "harness/tomlfile.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>

using harness::Millis;

namespace {

constexpr const char *callersIp = "127.4.0.1";
constexpr Millis progressPeriod { 1000 };
constexpr Millis pollPeriod { 20 };
constexpr Millis rolloutLimit { 10000 };
/// Time after the rollout of a drain from which the upstream must get no new work.
constexpr Millis drainSettleTime { 2000 };
constexpr Millis finishLimit { 60000 };

auto loadDeployment(const std::filesystem::path &file, const nlohmann::json &settings)
        -> harness::Deployment
{
    const std::string name = settings.at("deployment").get<std::string>() + ".toml";
    return harness::Deployment::fromJson(
            harness::readToml(file.parent_path() / "deployments" / name));
}

} // namespace

Demo::Demo(harness::Loop &eventLoop, const std::filesystem::path &file)
    : loop(eventLoop), settings(harness::readToml(file)),
      fleet(eventLoop, loadDeployment(file, this->settings))
{}

auto Demo::run() -> bool
{
    std::cout << "starting " << this->fleet.plan().hosts.size() << " hosts and "
              << this->fleet.upstreamNames().size() << " upstreams" << std::endl;
    this->fleet.startHosts();
    this->fleet.waitForCellHomes();
    this->begin = std::chrono::steady_clock::now();
    this->startLoads();
    for (const auto &change : this->settings.at("change")) {
        this->runUntil(change.at("at"));
        this->makeChange(change);
    }
    this->runUntil(1);
    this->finishLoads();

    std::map<std::string, nlohmann::json> reports;
    for (const std::string &load : this->loads) {
        reports[load] = this->fetchReport(load);
        reports[load]["kind"] = this->fleet.table().find("row", load).at("kind");
    }
    this->report.recordLoads(reports);
    this->report.recordLedgers(this->fleet, harness::checkLedgers(this->fleet, this->loads));
    const auto file = harness::programPath("demo-report.json");
    std::ofstream(file) << this->report.toJson().dump(2) << "\n";
    std::cout << this->report.toText() << "report: " << file.string() << std::endl;
    return this->report.guaranteesHeld();
}

auto Demo::startLoads() -> void
{
    for (const auto &load : this->settings.at("load")) {
        const std::string row = load.at("row");
        const auto &record = this->fleet.table().find("row", row);
        const bool idempotent = record.value("idempotent", true);
        nlohmann::json command = { { "cmd", "load" },
                                   { "name", row },
                                   { "kind", record.at("kind") },
                                   { "idempotent", idempotent },
                                   { "keyed", idempotent ? 0.0 : 1.0 },
                                   { "address", this->fleet.rowAddress(row) },
                                   { "source", callersIp } };
        command.update(load);
        this->fleet.callers().call(command);
        this->loads.push_back(row);
    }
}

auto Demo::makeChange(const nlohmann::json &change) -> void
{
    if (change.contains("edit")) {
        const std::string edit = change.at("edit");
        std::cout << "  edit: " << edit << std::endl;
        this->fleet.publish({ edit });
        this->waitForRevision();
    } else if (change.contains("drain")) {
        this->drainUpstream(change.at("drain"));
    } else {
        const auto &pair = change.at("replace");
        this->replaceHost(pair.at("host"), pair.at("by"));
    }
}

auto Demo::waitForRevision() -> void
{
    const auto published = std::chrono::steady_clock::now();
    const auto revision = this->fleet.revision();
    std::vector<std::string> waiting = this->fleet.runningHosts();
    const auto hasRevision = [&](const std::string &host) {
        const auto dump = this->fleet.adminPage(host, "dump");
        return harness::valueAt(dump, "config.revision") >= revision;
    };
    while (!waiting.empty() && std::chrono::steady_clock::now() - published < rolloutLimit) {
        waiting.erase(std::remove_if(waiting.begin(), waiting.end(), hasRevision), waiting.end());
        this->loop.runFor(waiting.empty() ? Millis(0) : pollPeriod);
    }
    const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - published;
    this->report.addRollout(passed.count(), waiting.empty());
    std::cout << "  rollout of revision " << revision << " to all hosts: waited " << std::fixed
              << std::setprecision(2) << passed.count() << " s" << std::endl;
}

auto Demo::replaceHost(const std::string &host, const std::string &replacement) -> void
{
    std::cout << "  host " << host << " stops and " << replacement << " replaces it" << std::endl;
    this->fleet.beginStop(host);
    this->fleet.startHost(replacement, this->fleet.zoneOf(host), true);
    this->report.addStop(this->fleet.waitStopped(host, finishLimit));
    std::cout << "  host " << host << " has stopped" << std::endl;
}

auto Demo::drainUpstream(const std::string &name) -> void
{
    std::cout << "  upstream " << name << " is draining" << std::endl;
    this->fleet.publish({ "upstream " + name + " state=draining" });
    this->waitForRevision();
    this->loop.runFor(drainSettleTime);
    const auto ledger = this->fleet.upstream(name).call({ { "cmd", "ledger" } });
    this->report.addDrainedUpstream(name, ledger.at("totals"));
}

auto Demo::finishLoads() -> void
{
    for (const std::string &load : this->loads) {
        this->fleet.callers().call({ { "cmd", "stop" }, { "name", load } });
        this->fleet.callers().call({ { "cmd", "wait" }, { "name", load } }, finishLimit);
    }
}

auto Demo::printProgress() -> void
{
    std::cout << std::setw(4) << static_cast<int>(this->elapsed()) << " s ";
    for (const std::string &load : this->loads) {
        const auto counts = this->fetchReport(load);
        const char *field = counts.contains("events") ? "events" : "answered";
        std::cout << "  " << load << " " << counts.at(field) << " " << field;
    }
    std::cout << std::endl;
}

auto Demo::runUntil(double share) -> void
{
    const double end = share * this->settings.at("seconds").get<double>();
    while (this->elapsed() < end) {
        const auto left = Millis(static_cast<int>((end - this->elapsed()) * 1000) + 1);
        this->loop.runFor(std::min(progressPeriod, left));
        this->printProgress();
    }
}

auto Demo::elapsed() const -> double
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - this->begin).count();
}

auto Demo::fetchReport(const std::string &load) -> nlohmann::json
{
    return this->fleet.callers().call({ { "cmd", "report" }, { "name", load } });
}
