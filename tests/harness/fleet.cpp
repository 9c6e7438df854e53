#include "harness/fleet.h"

#include "harness/metricstext.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace harness {

namespace {

constexpr const char *platformIp = "127.3.0.1";
constexpr const char *callersIp = "127.4.0.1";
constexpr Millis startLimit { 30000 };
constexpr Millis pollPeriod { 50 };
constexpr Millis clockBound { 1100 };    ///< Slightly longer than the product's clock bound.
constexpr Millis homeQueryLimit { 300 }; ///< Time limit for the dump of one host.
constexpr int httpOk = 200;

/// Writes `sections` as TOML tables of scalars.
auto writeSections(std::ostream &out, const nlohmann::json &sections) -> void
{
    for (const auto &[section, fields] : sections.items()) {
        out << "[" << section << "]\n";
        for (const auto &[field, value] : fields.items()) {
            out << field << " = " << value.dump() << "\n";
        }
    }
}

} // namespace

Fleet::Fleet(Loop &eventLoop, Deployment plan)
    : loop(eventLoop), deployment(std::move(plan)),
      network(eventLoop, this->tempFolder.file("proxy.log")),
      platformProcess(eventLoop, "platform", { { "listen", std::string(platformIp) + ":0" } },
                      this->tempFolder.file("platform.log")),
      callerProcess(eventLoop, "caller", { { "seed", 1 } }, this->tempFolder.file("caller.log"))
{
    this->network.nameEndpoint("platform", platformIp);
    this->network.nameEndpoint("callers", callersIp);
    this->platformLink = this->network.addLink(
            "platform", { this->platformProcess.readyEvent().at("address").get<std::string>() });
    this->draft.apply({ "key", "1" });
    this->draft.apply({ "sign", "1" });
    for (const UpstreamPlan &upstream : this->deployment.upstreams) {
        this->addUpstream(upstream);
    }
    for (const TableDraft::Record &row : this->deployment.rows) {
        this->addRow(row);
    }
    for (const HostPlan &host : this->deployment.hosts) {
        this->prepareHost(host.name, host.zone);
    }
    this->publish({});
}

auto Fleet::startHosts() -> void
{
    for (const HostPlan &host : this->deployment.hosts) {
        this->startHost(host.name, host.zone, false);
    }
    const auto allInRotation = [this] {
        return std::all_of(this->hosts.begin(), this->hosts.end(),
                           [this](const auto &host) { return this->network.isTarget(host.first); });
    };
    if (!this->loop.waitUntil(allInRotation, startLimit)) {
        throw std::runtime_error("not all hosts passed the health check of the fabric in time");
    }
}

auto Fleet::waitForCellHomes() -> void
{
    for (const auto &upstream : this->draft.all("upstream")) {
        const auto deadline = std::chrono::steady_clock::now() + startLimit;
        while (this->homeOf(upstream.at("service"), upstream.at("zone")).empty()) {
            if (std::chrono::steady_clock::now() > deadline) {
                throw std::runtime_error("no host became home of the cell of upstream "
                                         + upstream.at("name").dump());
            }
            this->loop.runFor(pollPeriod);
        }
    }
    this->loop.runFor(clockBound);
}

auto Fleet::startHost(const std::string &name, const std::string &zone, bool wait) -> void
{
    HostRecord &host = this->prepareHost(name, zone);
    this->setHostState(name, "live");
    host.process = std::make_unique<HostProcess>(this->loop, name, this->writeSettings(name, host),
                                                 this->logOf(name),
                                                 [this, name] { this->onHostEvent(name); });
    host.running = true;
    host.revision = 0;
    this->network.monitor(*host.process);
    if (wait && !this->loop.waitUntil([&] { return this->network.isTarget(name); }, startLimit)) {
        throw std::runtime_error("host " + name
                                 + " did not pass the health check of the fabric in time");
    }
}

auto Fleet::beginStop(const std::string &name) -> void
{
    this->setHostState(name, "leaving");
    this->host(name).process().kill(SIGTERM);
}

auto Fleet::waitStopped(const std::string &name, Millis limit) -> nlohmann::json
{
    HostProcess &stopping = this->host(name);
    const auto ended = [&] {
        return stopping.process().outputEnded() && stopping.process().exitStatus().has_value();
    };
    if (!this->loop.waitUntil(ended, limit)) {
        throw std::runtime_error("host " + name + " did not stop in time");
    }
    nlohmann::json last = stopping.stoppedEvent();
    if (last.is_null()) {
        throw std::runtime_error("host " + name + " ended without a stopped event");
    }
    last["exit_status"] = *stopping.process().exitStatus();
    this->hosts.at(name).running = false;
    this->setHostState(name, "");
    return last;
}

auto Fleet::killHost(const std::string &name) -> void
{
    this->host(name).process().kill(SIGKILL);
    this->hosts.at(name).running = false;
}

auto Fleet::host(const std::string &name) -> HostProcess &
{
    const auto found = this->hosts.find(name);
    if (found == this->hosts.end() || !found->second.running) {
        throw std::runtime_error("no running host " + name);
    }
    return *found->second.process;
}

auto Fleet::runningHosts(const std::string &zone) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, host] : this->hosts) {
        if (host.running && (zone.empty() || host.zone == zone)) {
            names.push_back(name);
        }
    }
    return names;
}

auto Fleet::startedHosts() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, host] : this->hosts) {
        if (host.process) {
            names.push_back(name);
        }
    }
    return names;
}

auto Fleet::logOf(const std::string &host) const -> std::filesystem::path
{
    return this->tempFolder.file("host-" + host + ".log");
}

auto Fleet::homeOf(const std::string &service, const std::string &zone) -> std::string
{
    for (const std::string &name : this->runningHosts(zone)) {
        const HttpResult dump =
                httpGet(this->loop, this->host(name).admin(), "/dump", homeQueryLimit);
        if (!dump) {
            continue; // A frozen host does not answer.
        }
        const auto content = nlohmann::json::parse(dump->body);
        for (const auto &cell : content.at("cells")) {
            if (cell.at("service") == service && cell.at("zone") == zone && cell.at("tenure")) {
                return name;
            }
        }
    }
    return "";
}

auto Fleet::zoneOf(const std::string &host) const -> std::string
{
    return this->hosts.at(host).zone;
}

auto Fleet::publish(const std::vector<std::string> &edits) -> std::uint64_t
{
    for (const std::string &edit : edits) {
        this->applyEdit(edit);
    }
    return this->publishText("");
}

auto Fleet::publishText(const std::string &text) -> std::uint64_t
{
    const auto answer = this->platformProcess.call(
            { { "cmd", "publish" }, { "table", this->draft.toToml() + text } });
    this->lastRevision = answer.at("revision");
    return this->lastRevision;
}

auto Fleet::setHostState(const std::string &name, const std::string &state) -> void
{
    this->hosts.at(name).listedState = state;
    this->publishHosts();
}

auto Fleet::adminPage(const std::string &name, const std::string &page) -> nlohmann::json
{
    const HttpResult result = httpGet(this->loop, this->host(name).admin(), "/" + page);
    if (!result || result->status != httpOk) {
        throw std::runtime_error("host " + name + " did not serve /" + page);
    }
    if (page == "metrics") {
        return parseMetrics(result->body);
    }
    auto content = nlohmann::json::parse(result->body);
    if (page == "dump") {
        this->recordRevision(name, content.at("config").at("revision"));
    }
    return content;
}

auto Fleet::recordRevision(const std::string &name, std::uint64_t revision) -> void
{
    std::uint64_t &highest = this->hosts.at(name).revision;
    if (revision < highest) {
        throw std::runtime_error("host " + name + " reverted from revision "
                                 + std::to_string(highest) + " to " + std::to_string(revision));
    }
    highest = revision;
}

auto Fleet::rowAddress(const std::string &row, const std::string &viaHost) -> std::string
{
    const std::string address = this->draft.find("row", row).at("address");
    if (viaHost.empty()) {
        return address;
    }
    const auto bound = this->host(viaHost).listeners().find(address);
    if (bound == this->host(viaHost).listeners().end()) {
        throw std::runtime_error("host " + viaHost + " has no listener for row " + row);
    }
    static std::uint64_t number = 0;
    return this->network.addLink("via:" + std::to_string(++number), { bound->second });
}

auto Fleet::upstream(const std::string &name) -> Standin &
{
    return *this->upstreams.at(name).process;
}

auto Fleet::upstreamNames() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &entry : this->upstreams) {
        names.push_back(entry.first);
    }
    return names;
}

auto Fleet::restartUpstream(const std::string &name) -> void
{
    this->startUpstream(this->upstreams.at(name));
}

auto Fleet::endpoints(const std::string &words) const -> std::vector<std::string>
{
    const EditWords split = splitWords(words);
    const std::string &first = split.at(0);
    const bool isOther = first == "not";
    const bool allZones = split.size() == 1 && (first == "hosts" || first == "upstreams");
    const std::string &zone = split.back();
    const bool named = this->hosts.count(first) != 0 || this->upstreams.count(first) != 0
                       || first == "platform" || first == "callers";
    if (named) {
        return { first };
    }
    const auto matches = [&](const std::string &candidate) {
        return allZones || (candidate == zone) != isOther;
    };
    std::vector<std::string> names;
    for (const auto &[name, host] : this->hosts) {
        if (first != "upstreams" && matches(host.zone)) {
            names.push_back(name);
        }
    }
    for (const auto &[name, upstream] : this->upstreams) {
        if (first != "hosts" && matches(upstream.plan.zone)) {
            names.push_back(name);
        }
    }
    if (isOther) {
        names.emplace_back("platform");
    }
    return names;
}

auto Fleet::addUpstream(const UpstreamPlan &plan) -> void
{
    UpstreamRecord &record = this->upstreams[plan.name];
    record.plan = plan;
    const std::string prefix = "127.2." + std::to_string(this->zoneNumber(plan.zone)) + ".";
    record.ip = prefix + std::to_string(++this->lastIpNumbers[prefix]);
    this->network.nameEndpoint(plan.name, record.ip);
    this->startUpstream(record);
    TableDraft::Record row = plan.record;
    row["name"] = plan.name;
    row["zone"] = plan.zone;
    row["address"] = this->network.addLink(
            "upstream:" + plan.name,
            { record.process->readyEvent().at("address").get<std::string>() });
    this->draft.add("upstream", std::move(row));
}

auto Fleet::startUpstream(UpstreamRecord &record) -> void
{
    nlohmann::json options = record.plan.options;
    options["name"] = record.plan.name;
    options["listen"] = record.ip + ":0";
    options["ledger_file"] = this->tempFolder.file("ledger-" + record.plan.name).string();
    const bool isRestart = record.process != nullptr;
    record.process = std::make_unique<Standin>(
            this->loop, "upstream", options,
            this->tempFolder.file("upstream-" + record.plan.name + ".log"));
    if (isRestart) {
        this->network.setTargets("upstream:" + record.plan.name,
                                 { record.process->readyEvent().at("address").get<std::string>() });
    }
}

auto Fleet::addRow(TableDraft::Record row) -> void
{
    row["address"] = this->network.addRowLink(row.at("name"));
    this->draft.add("row", std::move(row));
}

auto Fleet::prepareHost(const std::string &name, const std::string &zone) -> HostRecord &
{
    HostRecord &host = this->hosts[name];
    if (host.ip.empty()) {
        const std::string prefix = "127.1." + std::to_string(this->zoneNumber(zone)) + ".";
        host.zone = zone;
        host.ip = prefix + std::to_string(++this->lastIpNumbers[prefix]);
        this->network.nameEndpoint(name, host.ip);
        host.peerLink = this->network.addLink("peer:" + name, {});
        host.relayLink = this->network.addLink("relay:" + name, {});
    }
    return host;
}

auto Fleet::writeSettings(const std::string &name, const HostRecord &host) -> std::filesystem::path
{
    const std::filesystem::path file = this->tempFolder.file("host-" + name + ".toml");
    std::ofstream out(file);
    const std::string anyPort = host.ip + ":0";
    writeSections(out,
                  { { "host", { { "name", name }, { "zone", host.zone } } },
                    { "listen",
                      { { "services", anyPort },
                        { "peer", anyPort },
                        { "relay", anyPort },
                        { "admin", anyPort } } },
                    { "advertise", { { "peer", host.peerLink }, { "relay", host.relayLink } } },
                    { "network", { { "source", host.ip } } },
                    { "platform", { { "address", this->platformLink } } } });
    writeSections(out, this->deployment.settings);
    for (const auto &[other, record] : this->hosts) {
        if (other != name) {
            out << "[[seed]]\nname = \"" << other << "\"\nzone = \"" << record.zone
                << "\"\npeer = \"" << record.peerLink << "\"\nrelay = \"" << record.relayLink
                << "\"\n";
        }
    }
    return file;
}

auto Fleet::publishHosts() -> void
{
    auto list = nlohmann::json::array();
    for (const auto &[name, host] : this->hosts) {
        if (!host.listedState.empty()) {
            list.push_back({ { "name", name },
                             { "zone", host.zone },
                             { "peer", host.peerLink },
                             { "relay", host.relayLink },
                             { "state", host.listedState } });
        }
    }
    this->platformProcess.call({ { "cmd", "hosts" }, { "hosts", list } });
}

auto Fleet::applyEdit(const std::string &edit) -> void
{
    const EditWords words = splitWords(edit);
    if (words.at(0) != "add") {
        this->draft.apply(words);
        return;
    }
    TableDraft added;
    added.apply(words);
    const std::string &kind = words.at(1);
    const TableDraft::Record record = added.all(kind).at(0);
    if (kind == "row") {
        this->addRow(record);
    } else {
        this->addUpstream(this->deployment.additionalUpstream(words.at(2), record.at("service"),
                                                              record.at("zone")));
    }
}

auto Fleet::zoneNumber(const std::string &zone) const -> std::size_t
{
    const auto &zones = this->deployment.zones;
    const auto found = std::find(zones.begin(), zones.end(), zone);
    if (found == zones.end()) {
        throw std::runtime_error("the deployment has no zone " + zone);
    }
    return static_cast<std::size_t>(found - zones.begin()) + 1;
}

auto Fleet::onHostEvent(const std::string &name) -> void
{
    const HostRecord &host = this->hosts.at(name);
    if (host.process && host.process->isReady()) {
        const nlohmann::json &ready = host.process->readyEvent();
        this->network.setTargets("peer:" + name, { ready.at("peer").get<std::string>() });
        this->network.setTargets("relay:" + name, { ready.at("relay").get<std::string>() });
        this->network.refresh();
    }
}

} // namespace harness
