#include "harness/packetfleet.h"

#include "harness/httpget.h"
#include "harness/logfile.h"
#include "harness/metricstext.h"
#include "harness/template.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <regex>
#include <stdexcept>

namespace harness {

namespace {

using nlohmann::json;

constexpr Millis startLimit { 15000 };
constexpr Millis stopLimit { 15000 };
constexpr Millis pollPeriod { 20 };
constexpr Millis loadFinishTime { 1500 }; ///< For requests that are pending when the load ends.
constexpr const char *feedAddress = "127.99.0.1:8443";
constexpr const char *resolutionsAddress = "127.99.0.1:8080";
constexpr const char *papersAddress = "127.99.0.2:8443";

auto zoneName(std::size_t zone) -> std::string
{
    return "zone-" + std::to_string(zone);
}

auto readFile(const std::filesystem::path &path) -> std::string
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

/// Returns a row in the format in which the platform publishes it.
auto rowOf(const std::string &name, const std::string &address, const std::string &kind,
           const std::string &service) -> json
{
    const auto colon = address.find(':');
    return { { "name", name },
             { "host", address.substr(0, colon) },
             { "prefix", "/" + address.substr(colon + 1) + "/" },
             { "routeType", kind },
             { "timeoutMs", 1000 },
             { "targetLatencyMs", 100 },
             { "priority", 1 },
             { "service", service },
             { "maxAttempts", 2 } };
}

} // namespace

PacketFleet::PacketFleet(Loop &eventLoop)
    : loop(eventLoop), storeProcess(eventLoop, "store", { { "listen", "127.3.0.1:0" } },
                                    this->tempFolder.file("store.log")),
      packetsProcess(eventLoop, "packets", { { "seed", 1 } }, this->tempFolder.file("packets.log"))
{
    this->publishRows();
}

auto PacketFleet::publishRows() -> std::uint64_t
{
    const json rows { { "version", ++this->version * 3 },
                      { "routes",
                        { rowOf("feed", feedAddress, "safe", "live"),
                          rowOf("resolutions", resolutionsAddress, "unsafe", "live"),
                          rowOf("papers", papersAddress, "upload", "papers") } },
                      { "services", json::array() },
                      { "limits", { { "idleTimeoutMs", 15000 } } } };
    return this->storeProcess.call({ { "cmd", "put" }, { "key", "op/config" }, { "value", rows } })
            .at("revision");
}

auto PacketFleet::start(std::size_t zones, std::size_t hostCount, std::size_t upstreamCount) -> void
{
    this->zoneCount = zones;
    for (std::size_t zone = 1; zone <= zones; ++zone) {
        for (std::size_t i = 1; i <= upstreamCount; ++i) {
            this->addUpstream("live-" + std::to_string(zone) + "-" + std::to_string(i), "live",
                              zone);
        }
        this->addUpstream("papers-" + std::to_string(zone), "papers", zone);
    }
    for (std::size_t zone = 1; zone <= zones; ++zone) {
        for (std::size_t i = 1; i <= hostCount; ++i) {
            this->addHost("host-" + std::to_string(zone) + "-" + std::to_string(i), zone, false);
        }
    }
    for (const auto &name : this->hostNames()) {
        this->waitInRotation(name);
    }
}

auto PacketFleet::addUpstream(const std::string &name, const std::string &service, std::size_t zone)
        -> void
{
    const auto ip = "127.2." + std::to_string(zone) + "."
                    + std::to_string(++this->lastUpstreamNumbers[zone]);
    const auto made = this->packetsProcess.call({ { "cmd", "upstream" },
                                                  { "name", name },
                                                  { "service", service },
                                                  { "listen", ip + ":0" } });
    this->upstreams[name] = {
        { "id", made.at("server") }, { "service", service }, { "address", made.at("address") },
        { "zone", zoneName(zone) },  { "version", "v1" },    { "slots", 2 },
        { "state", "ready" },        { "coldLeftMs", 0 },    { "seq", 1 }
    };
    this->registerUpstream(name, json::object());
}

auto PacketFleet::registerUpstream(const std::string &name, const json &changes) -> void
{
    auto &record = this->upstreams.at(name);
    record.update(changes);
    this->storeProcess.call({ { "cmd", "put" },
                              { "key", "servers/" + record.at("id").get<std::string>() },
                              { "value", record } });
}

auto PacketFleet::drainUpstream(const std::string &name) -> void
{
    this->registerUpstream(name, { { "state", "draining" } });
    this->packetsProcess.call({ { "cmd", "drain" }, { "name", name } });
}

auto PacketFleet::unregisterUpstream(const std::string &name) -> void
{
    const auto id = this->upstreams.at(name).at("id").get<std::string>();
    this->storeProcess.call({ { "cmd", "remove" }, { "key", "servers/" + id } });
}

auto PacketFleet::addHost(const std::string &name, std::size_t zone, bool wait) -> void
{
    auto &host = this->hosts[name];
    host.zone = zone;
    host.ip = "127.1." + std::to_string(zone) + "." + std::to_string(++this->lastHostNumbers[zone]);
    this->startHost(name, wait);
}

auto PacketFleet::settingsOf(const std::string &name) const -> std::filesystem::path
{
    return this->tempFolder.file(name + ".toml");
}

auto PacketFleet::logOf(const std::string &name) const -> std::filesystem::path
{
    return this->tempFolder.file(name + ".log");
}

auto PacketFleet::writeSettings(const std::string &name) -> void
{
    const auto &host = this->hosts.at(name);
    auto seeds = json::array();
    for (const auto &[other, record] : this->hosts) {
        if (other != name && record.process != nullptr && record.process->isReady()) {
            seeds.push_back(record.process->readyEvent().at("peer"));
        }
    }
    const auto any = host.ip + ":0";
    const json fields {
        { "nodeName", name },
        { "zone", zoneName(host.zone) },
        { "ip", host.ip },
        { "listen", { { "datagramAddr", any }, { "ready", any }, { "control", any } } },
        { "seeds", seeds },
        { "bounds", { { "graceS", 6 } } },
        { "platform", { { "address", this->storeProcess.readyEvent().at("address") } } }
    };
    auto text = fillTemplate(
            readFile(std::string(FLAMINGOGRADE_SOURCE_FOLDER) + "/platform/settings.toml"), fields);
    // Port 9100 may be in use by another test run on the same machine. The callers' port is
    // ephemeral too.
    text = std::regex_replace(text, std::regex(":9100"), ":0");
    const auto port = this->packetsProcess.readyEvent().at("caller_port").get<int>();
    text = std::regex_replace(text, std::regex("\\[packets\\]"),
                              "[packets]\ncaller_port = " + std::to_string(port));
    std::ofstream(this->settingsOf(name)) << text;
}

auto PacketFleet::startHost(const std::string &name, bool wait) -> void
{
    this->writeSettings(name);
    auto &host = this->hosts.at(name);
    host.process = std::make_unique<HostProcess>(this->loop, name, this->settingsOf(name),
                                                 this->logOf(name), [] {});
    if (!this->loop.waitUntil([&] { return host.process->isReady(); }, startLimit)) {
        throw std::runtime_error("host " + name + " did not send its ready event in time");
    }
    this->registerHost(name);
    if (wait) {
        this->waitInRotation(name);
    }
}

auto PacketFleet::registerHost(const std::string &name) -> void
{
    const auto &host = this->hosts.at(name);
    const auto &ready = host.process->readyEvent();
    this->packetsProcess.call({ { "cmd", "host" },
                                { "name", name },
                                { "zone", zoneName(host.zone) },
                                { "packets", ready.at("packets") },
                                { "ready", ready.at("ready") } });
}

auto PacketFleet::waitInRotation(const std::string &name) -> void
{
    const auto deadline = std::chrono::steady_clock::now() + startLimit;
    for (;;) {
        const auto listed = this->packetsProcess.call({ { "cmd", "in_rotation" } }).at("hosts");
        if (std::find(listed.begin(), listed.end(), name) != listed.end()) {
            return;
        }
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("host " + name + " did not enter rotation in time\n"
                                     + this->logs());
        }
        this->loop.runFor(pollPeriod);
    }
}

auto PacketFleet::beginLoad(double perSecond) -> void
{
    auto rates = json::object();
    for (std::size_t zone = 1; zone <= this->zoneCount; ++zone) {
        rates[zoneName(zone)] = perSecond;
    }
    const json kinds = {
        { { "name", "feed" },
          { "address", feedAddress },
          { "service", "live" },
          { "long_flows", true },
          { "share", 7 },
          { "work_ms", 10 } },
        { { "name", "resolutions" },
          { "address", resolutionsAddress },
          { "service", "live" },
          { "idempotent", false },
          { "share", 2 },
          { "request_bytes", 900 },
          { "work_ms", 10 } },
        { { "name", "papers" },
          { "address", papersAddress },
          { "service", "papers" },
          { "idempotent", false },
          { "share", 1 },
          { "request_bytes", 20000 },
          { "answer_bytes", 300 },
          { "work_ms", 5 },
          { "deadline_ms", 5000 } },
    };
    this->packetsProcess.call({ { "cmd", "load" }, { "kinds", kinds }, { "zones", rates } });
}

auto PacketFleet::endLoad() -> json
{
    this->packetsProcess.call({ { "cmd", "stop_load" } });
    this->loop.runFor(loadFinishTime);
    return this->packetsProcess.call({ { "cmd", "report" } });
}

auto PacketFleet::stopHost(const std::string &name, bool restart) -> void
{
    auto &process = this->host(name);
    process.process().kill(SIGTERM);
    const auto ended = [&] {
        return process.process().outputEnded() && process.process().exitStatus().has_value();
    };
    if (!this->loop.waitUntil(ended, stopLimit) || process.stoppedEvent().is_null()) {
        throw std::runtime_error("host " + name + " did not stop cleanly in time\n" + this->logs());
    }
    if (restart) {
        this->startHost(name, true);
    }
}

auto PacketFleet::killHost(const std::string &name, bool restart) -> void
{
    auto &process = this->host(name).process();
    process.kill(SIGKILL);
    this->loop.waitUntil([&] { return process.exitStatus().has_value(); }, stopLimit);
    if (restart) {
        this->startHost(name, true);
    }
}

auto PacketFleet::metric(const std::string &name, const std::string &metricName) -> double
{
    const auto page = httpGet(this->loop, this->host(name).admin(), "/metrics");
    if (!page) {
        throw std::runtime_error("cannot read the metrics of host " + name + ": " + page.error());
    }
    return parseMetrics(page->body).value("flamingograde_" + metricName, 0.0);
}

auto PacketFleet::waitRevision(std::uint64_t revision, Millis limit) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    const auto names = this->hostNames();
    const auto hasRevision = [&](const std::string &name) {
        return this->metric(name, "directory_revision") >= static_cast<double>(revision);
    };
    while (!std::all_of(names.begin(), names.end(), hasRevision)) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        this->loop.runFor(pollPeriod);
    }
    return true;
}

auto PacketFleet::hostNames() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, host] : this->hosts) {
        names.push_back(name);
    }
    return names;
}

auto PacketFleet::logs() const -> std::string
{
    constexpr std::size_t lines = 12;
    std::string text;
    for (const auto &name : this->hostNames()) {
        text += "--- " + name + "\n" + lastLines(this->logOf(name), lines);
    }
    return text;
}

} // namespace harness
