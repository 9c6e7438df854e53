#include "barefleet.h"

#include "harness/httpget.h"
#include "harness/metricstext.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>

using harness::Millis;

namespace {

constexpr const char *platformIp = "127.3.0.1:0";
constexpr int upstreamsPerService = 10; ///< Upstreams of each idle service.
constexpr int addressesPerSubnet = 250;
constexpr int hostNetwork = 1;
constexpr int upstreamNetwork = 2;
constexpr Millis readyTimeout { 30000 };
constexpr Millis membershipTimeout { 60000 };
constexpr Millis membershipPollPeriod { 200 };
constexpr Millis rolloutTimeout { 15000 };
constexpr Millis rolloutPollPeriod { 10 };

auto writeSection(std::ostream &out, const std::string &name, const nlohmann::json &fields) -> void
{
    out << "[" << name << "]\n";
    for (const auto &[field, value] : fields.items()) {
        out << field << " = " << value.dump() << "\n";
    }
}

} // namespace

BareFleet::BareFleet(harness::Loop &eventLoop, harness::Deployment plan)
    : loop(eventLoop), deployment(std::move(plan)),
      platformProcess(eventLoop, "platform", { { "listen", platformIp } },
                      this->temporary.file("platform.log")),
      callerProcess(eventLoop, "caller", { { "seed", 1 } }, this->temporary.file("caller.log"))
{
    this->draft.apply({ "key", "1" });
    this->draft.apply({ "sign", "1" });
    this->startUpstreams();
    this->addRows();
    this->publishTable();
}

auto BareFleet::addIdleUpstreams(int count) -> void
{
    for (int i = 0; i < count; ++i) {
        const auto service = "bulk-" + std::to_string(i / upstreamsPerService);
        const auto ending = std::to_string(i / addressesPerSubnet) + "."
                            + std::to_string(i % addressesPerSubnet) + ":80";
        if (i % upstreamsPerService == 0) {
            this->draft.add("row", { { "name", service + "-row" },
                                     { "service", service },
                                     { "kind", "request" },
                                     { "address", "127.7." + ending } });
        }
        const auto &zones = this->deployment.zones;
        this->draft.add("upstream", { { "name", service + "-" + std::to_string(i) },
                                      { "service", service },
                                      { "zone", zones[static_cast<std::size_t>(i) % zones.size()] },
                                      { "address", "127.8." + ending } });
    }
    this->publishTable();
}

auto BareFleet::startHosts() -> void
{
    for (const auto &host : this->deployment.hosts) {
        this->startHost(host);
    }
    this->publishHostList();
    auto settled = this->isMembershipComplete();
    const auto begin = std::chrono::steady_clock::now();
    while (!settled && std::chrono::steady_clock::now() - begin < membershipTimeout) {
        this->loop.runFor(membershipPollPeriod);
        settled = this->isMembershipComplete();
    }
    if (!settled) {
        throw std::runtime_error("not all hosts listed every other host as alive within 60 s");
    }
}

auto BareFleet::replaceHost(const std::string &name, const std::string &replacement) -> void
{
    const auto found = this->hosts.find(name);
    const harness::HostPlan plan { replacement, found->second.plan.zone };
    this->hosts.erase(found);
    this->startHost(plan);
    this->publishHostList();
}

auto BareFleet::publish(const std::string &edit) -> std::uint64_t
{
    this->draft.apply(harness::splitWords(edit));
    return this->publishTable();
}

auto BareFleet::waitInForce() -> std::optional<double>
{
    const auto isBehind = [&](const auto &host) {
        return host.second.value("flamingograde_revision", 0.0)
               < static_cast<double>(this->revision);
    };
    while (std::chrono::steady_clock::now() - this->published < rolloutTimeout) {
        const auto all = this->metrics();
        if (std::none_of(all.begin(), all.end(), isBehind)) {
            const std::chrono::duration<double> passed =
                    std::chrono::steady_clock::now() - this->published;
            return passed.count();
        }
        this->loop.runFor(rolloutPollPeriod);
    }
    return std::nullopt;
}

auto BareFleet::metrics() -> std::map<std::string, nlohmann::json>
{
    std::map<std::string, nlohmann::json> pages;
    std::size_t answered = 0;
    for (const auto &[name, host] : this->hosts) {
        harness::startGet(this->loop, host.process->admin(), "/metrics", harness::httpLimit,
                          [&, of = name](const harness::HttpResult &result) {
                              ++answered;
                              if (result) {
                                  pages[of] = harness::parseMetrics(result->body);
                              }
                          });
    }
    this->loop.waitUntil([&] { return answered == this->hosts.size(); });
    if (pages.size() != this->hosts.size()) {
        throw std::runtime_error("could not read /metrics from all hosts");
    }
    return pages;
}

auto BareFleet::listenerAddress(const std::string &host, const std::string &row) -> std::string
{
    const std::string address = this->draft.find("row", row).at("address");
    return this->hosts.at(host).process->listeners().at(address);
}

auto BareFleet::upstreamAddress(const std::string &name) -> std::string
{
    return this->upstreamProcess->readyEvent().at("addresses").at(name);
}

auto BareFleet::startUpstreams() -> void
{
    auto list = nlohmann::json::array();
    for (const auto &plan : this->deployment.upstreams) {
        nlohmann::json options = plan.options;
        options["name"] = plan.name;
        options["listen"] = this->nextIp(plan.zone, upstreamNetwork) + ":0";
        list.push_back(std::move(options));
    }
    this->upstreamProcess = std::make_unique<harness::Standin>(
            this->loop, "upstream", nlohmann::json { { "upstreams", std::move(list) } },
            this->temporary.file("upstream.log"));
    for (const auto &plan : this->deployment.upstreams) {
        auto record = plan.record;
        record["name"] = plan.name;
        record["zone"] = plan.zone;
        record["address"] = this->upstreamAddress(plan.name);
        this->draft.add("upstream", std::move(record));
    }
}

auto BareFleet::addRows() -> void
{
    int number = 0;
    for (auto row : this->deployment.rows) {
        row["address"] = "127.9.0." + std::to_string(++number) + ":80";
        this->draft.add("row", std::move(row));
    }
}

auto BareFleet::startHost(const harness::HostPlan &plan) -> void
{
    auto &host = this->hosts[plan.name];
    host.plan = plan;
    host.process =
            std::make_unique<harness::HostProcess>(this->loop, plan.name, this->writeSettings(plan),
                                                   this->temporary.file(plan.name + ".log"), [] {});
}

auto BareFleet::writeSettings(const harness::HostPlan &plan) -> std::filesystem::path
{
    const auto ip = this->nextIp(plan.zone, hostNetwork);
    const auto anyPort = ip + ":0";
    const std::string platformAddress = this->platformProcess.readyEvent().at("address");
    auto file = this->temporary.file(plan.name + ".toml");
    std::ofstream out(file);
    writeSection(out, "host", { { "name", plan.name }, { "zone", plan.zone } });
    writeSection(out, "listen",
                 { { "services", anyPort },
                   { "peer", anyPort },
                   { "relay", anyPort },
                   { "admin", anyPort } });
    writeSection(out, "network", { { "source", ip } });
    writeSection(out, "platform", { { "address", platformAddress } });
    for (const auto &[section, fields] : this->deployment.settings.items()) {
        writeSection(out, section, fields);
    }
    return file;
}

auto BareFleet::publishHostList() -> void
{
    const auto allReady = [this] {
        return std::all_of(this->hosts.begin(), this->hosts.end(),
                           [](const auto &host) { return host.second.process->isReady(); });
    };
    if (!this->loop.waitUntil(allReady, readyTimeout)) {
        throw std::runtime_error("not all hosts became ready within 30 s");
    }
    auto list = nlohmann::json::array();
    for (const auto &[name, host] : this->hosts) {
        const auto &ready = host.process->readyEvent();
        list.push_back({ { "name", name },
                         { "zone", host.plan.zone },
                         { "peer", ready.at("peer") },
                         { "relay", ready.at("relay") },
                         { "state", "live" } });
    }
    this->platformProcess.call({ { "cmd", "hosts" }, { "hosts", std::move(list) } });
}

auto BareFleet::publishTable() -> std::uint64_t
{
    const auto text = this->draft.toToml();
    this->published = std::chrono::steady_clock::now();
    const auto answer = this->platformProcess.call({ { "cmd", "publish" }, { "table", text } });
    this->revision = answer.at("revision");
    return this->revision;
}

auto BareFleet::isMembershipComplete() -> bool
{
    const auto all = this->metrics();
    return std::all_of(all.begin(), all.end(), [&](const auto &host) {
        const auto members = host.second.value("flamingograde_members_alive", 0.0);
        return host.second.value("flamingograde_revision", 0.0) >= 1
               && members >= static_cast<double>(this->hosts.size());
    });
}

auto BareFleet::nextIp(const std::string &zone, int kind) -> std::string
{
    const auto &zones = this->deployment.zones;
    const auto found = std::find(zones.begin(), zones.end(), zone);
    const auto prefix =
            "127." + std::to_string(kind) + "." + std::to_string(found - zones.begin() + 1) + ".";
    return prefix + std::to_string(++this->lastNumbers[prefix]);
}
