/// Parsing of the settings of a host from TOML.
#include "wire/settings.h"

#include "table/entries.h"
#include "table/findinglist.h"
#include "table/parsedtoml.h"
#include "table/tomllines.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

namespace flamingograde {

namespace {

using Names = std::vector<std::string_view>;

constexpr std::uint64_t stopTimeoutMaxMs = 3600000;
constexpr std::uint64_t heartbeatMaxMs = 3'600'000;
constexpr std::uint64_t clockBoundMaxMs = 60000;
constexpr std::uint64_t countMax = 10000000;
constexpr std::uint64_t portMax = 65535;
constexpr double linkMbpsMax = 1000000; ///< A terabit per second, above any current link.
constexpr std::uint64_t flowsTrackedMin = 8;
constexpr std::string_view defaultListen = "127.0.0.1:0";

const Names sectionNames { "host",     "listen", "advertise", "network", "packets",
                           "platform", "seed",   "limits",    "log",     "policy" };
const Names hostFields { "name", "zone", "link_mbps" };
const Names listenFields { "services", "peer", "relay", "admin", "ready", "ready_path" };
const Names advertiseFields { "peer", "relay" };
const Names networkFields { "source" };
const Names packetFields { "listen", "caller_port", "flows_tracked", "admission" };
const Names platformFields { "address", "publishes", "heartbeat_ms" };
const Names publishesNames { "table", "directory" };
const Names seedFields { "name", "zone", "peer", "relay" };
const Names limitFields { "stop_timeout_ms", "clock_bound_ms", "exchanges_max",
                          "feeds_max",       "cold_excess",    "cold_slack" };
const Names logFields { "level" };
const Names policyFields { "placement", "seed" };
const Names logLevelNames { "error", "warn", "info", "debug" };
const Names policyNames { "cell-home", "upstream-home", "local-least-loaded", "two-choices",
                          "static-hash" };

template<typename D>
auto milliseconds(D duration) -> std::uint64_t
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

auto isPowerOfTwo(std::size_t number) -> bool
{
    return number != 0 && (number & (number - 1)) == 0;
}

/// Reads the sections of one settings file and records their errors.
class SettingsReader
{
public:
    SettingsReader(const ParsedToml &document, FindingList &list) : text(document), findings(list)
    {}

    auto parse() -> Settings
    {
        reportUnknownSections(this->text, sectionNames, "the settings have", false, this->findings);
        this->readHost();
        this->readListen();
        this->readAdvertise();
        this->readNetwork();
        this->readPackets();
        this->readPlatform();
        this->readSeeds();
        this->readLimits();
        this->readLog();
        this->readPolicy();
        return std::move(this->settings);
    }

private:
    auto reader(std::string_view section, const Names &fields) -> FieldReader;
    auto listenAddress(FieldReader &fields, std::string_view key) -> Address;
    auto sourceAddress(FieldReader &fields, std::string_view key) -> Address;
    auto readServices(FieldReader &fields) -> void;
    auto readHost() -> void;
    auto readListen() -> void;
    auto readAdvertise() -> void;
    auto readNetwork() -> void;
    auto readReadiness(FieldReader &fields) -> void;
    auto readPackets() -> void;
    auto readPlatform() -> void;
    auto readSeeds() -> void;
    auto readSeed(FieldReader &fields) -> void;
    auto readLimits() -> void;
    auto readLog() -> void;
    auto readPolicy() -> void;

    const ParsedToml &text;
    FindingList &findings;
    toml::table emptySection; ///< Used in place of a missing section.
    Settings settings;
};

/// Returns a reader of a section. Reports its unknown fields, and a value that is not a section.
auto SettingsReader::reader(std::string_view section, const Names &fields) -> FieldReader
{
    const auto *node = this->text.root.get(section);
    const auto *table = node != nullptr ? node->as_table() : nullptr;
    if (node != nullptr && table == nullptr) {
        this->findings.add(positionOf(node->source()), std::string(section) + " is not a section",
                           "begin it with [" + std::string(section) + "]");
    }
    const auto isUnreadable =
            table == nullptr && (node != nullptr || !this->text.hasNoSyntaxErrors);
    const auto isBroken =
            isUnreadable
            || (table != nullptr
                && this->text.sectionsWithErrors.count(positionOf(table->source()).line) != 0);
    FieldReader result(table != nullptr ? *table : this->emptySection, section, isBroken,
                       this->findings);
    result.reportUnknownFields(fields);
    return result;
}

/// Reads a listening address; port 0 means any free port.
auto SettingsReader::listenAddress(FieldReader &fields, std::string_view key) -> Address
{
    const auto value = fields.has(key) ? fields.text(key) : defaultListen;
    const auto address = Address::parse(value);
    if (!address) {
        fields.addFinding(key, address.error(), "give IP:PORT, such as \"127.0.0.1:0\"");
        return {};
    }
    return *address;
}

auto SettingsReader::sourceAddress(FieldReader &fields, std::string_view key) -> Address
{
    if (!fields.has(key)) {
        return {};
    }
    const auto value = fields.text(key);
    const auto address = Address::parse(std::string(value) + ":0");
    if (!address || !address->isValid()) {
        fields.addFinding(key, "is not an IP address",
                          "give an IPv4 address, such as \"10.0.0.1\"");
        return {};
    }
    return *address;
}

auto SettingsReader::readHost() -> void
{
    auto fields = this->reader("host", hostFields);
    auto &self = this->settings.init.self;
    self.name = fields.name("name");
    self.zoneName = fields.name("zone");
    self.id = HostId::ofName(self.name);
    self.zone = ZoneId::ofName(self.zoneName);
    this->settings.init.self.linkMbps = static_cast<std::uint32_t>(
            std::min(std::ceil(fields.positive("link_mbps", 0)), linkMbpsMax));
    this->settings.init.seed = self.id.value();
}

auto SettingsReader::readListen() -> void
{
    auto fields = this->reader("listen", listenFields);
    this->settings.peer = this->listenAddress(fields, "peer");
    this->settings.relay = this->listenAddress(fields, "relay");
    this->settings.admin = this->listenAddress(fields, "admin");
    this->readServices(fields);
    this->readReadiness(fields);
}

auto SettingsReader::readReadiness(FieldReader &fields) -> void
{
    if (fields.has("ready")) {
        this->settings.ready = this->listenAddress(fields, "ready");
    }
    if (!fields.has("ready_path")) {
        return;
    }
    this->settings.readyPath = fields.text("ready_path");
    if (this->settings.readyPath.empty() || this->settings.readyPath.front() != '/') {
        fields.addFinding("ready_path", "is not an absolute path", "begin it with \"/\"");
    }
}

auto SettingsReader::readPackets() -> void
{
    auto fields = this->reader("packets", packetFields);
    if (!fields.has("listen")) {
        return;
    }
    this->settings.packets = this->listenAddress(fields, "listen");
    this->settings.callerPort = static_cast<std::uint16_t>(
            fields.number("caller_port", { 1, portMax, this->settings.packets.port }));
    this->settings.init.flowsTracked =
            fields.number("flows_tracked", { flowsTrackedMin, countMax, config::flowsTracked });
    this->settings.init.admitsByLoad = fields.flag("admission", true);
    if (!isPowerOfTwo(this->settings.init.flowsTracked)) {
        fields.addFinding("flows_tracked", "is not a power of two",
                          "give a power of two, such as 16384");
    }
}

auto SettingsReader::readServices(FieldReader &fields) -> void
{
    constexpr std::string_view key = "services";
    if (!fields.has(key)) {
        return;
    }
    const auto value = fields.text(key);
    if (value == "table") {
        return;
    }
    const auto address = Address::parse(value);
    if (!address || address->port != 0) {
        fields.addFinding(key, "is neither \"table\" nor an IP address with port 0",
                          "give \"table\", or an address such as \"127.0.0.1:0\"");
        return;
    }
    this->settings.servicesFromTable = false;
    this->settings.services = *address;
}

auto SettingsReader::readAdvertise() -> void
{
    auto fields = this->reader("advertise", advertiseFields);
    auto &self = this->settings.init.self;
    self.peer = fields.has("peer") ? fields.address("peer") : Address {};
    self.relay = fields.has("relay") ? fields.address("relay") : Address {};
}

auto SettingsReader::readNetwork() -> void
{
    auto fields = this->reader("network", networkFields);
    this->settings.source = this->sourceAddress(fields, "source");
}

auto SettingsReader::readPlatform() -> void
{
    auto fields = this->reader("platform", platformFields);
    this->settings.platform = fields.address("address");
    auto &init = this->settings.init;
    init.readsDirectory = fields.enumValue("publishes", publishesNames, 0) == 1;
    init.upstreamHeartbeat = std::chrono::milliseconds(fields.number(
            "heartbeat_ms", { 1, heartbeatMaxMs, milliseconds(config::upstreamHeartbeat) }));
}

auto SettingsReader::readSeeds() -> void
{
    forEachEntry(this->text, "seed", this->findings,
                 [this](FieldReader &fields) { this->readSeed(fields); });
}

auto SettingsReader::readSeed(FieldReader &fields) -> void
{
    fields.reportUnknownFields(seedFields);
    if (!fields.has("name") && !fields.has("zone") && !fields.has("relay")) {
        this->settings.init.seedAddresses.push_back(fields.address("peer"));
        return;
    }
    Member seed;
    seed.name = fields.name("name");
    seed.zoneName = fields.name("zone");
    seed.peer = fields.address("peer");
    seed.relay = fields.address("relay");
    seed.id = HostId::ofName(seed.name);
    seed.zone = ZoneId::ofName(seed.zoneName);
    this->settings.init.seeds.push_back(std::move(seed));
}

auto SettingsReader::readLimits() -> void
{
    auto fields = this->reader("limits", limitFields);
    auto &init = this->settings.init;
    init.stopTimeout = std::chrono::milliseconds(fields.number(
            "stop_timeout_ms", { 0, stopTimeoutMaxMs, milliseconds(config::stopTimeout) }));
    init.clockBound = std::chrono::milliseconds(fields.number(
            "clock_bound_ms", { 1, clockBoundMaxMs, milliseconds(config::clockBound) }));
    init.exchangesMax = fields.number("exchanges_max", { 1, countMax, config::exchangesMax });
    init.coldExcess = fields.positive("cold_excess", config::coldExcess);
    init.coldSlack = fields.nonNegative("cold_slack", config::coldSlack);
    init.feedsMax = fields.number("feeds_max", { 1, countMax, config::feedsMax });
}

auto SettingsReader::readLog() -> void
{
    auto fields = this->reader("log", logFields);
    constexpr auto defaultLevel = static_cast<std::size_t>(LogLevel::Info);
    this->settings.logLevel =
            static_cast<LogLevel>(fields.enumValue("level", logLevelNames, defaultLevel));
}

auto SettingsReader::readPolicy() -> void
{
    auto fields = this->reader("policy", policyFields);
    auto &init = this->settings.init;
    init.policy = static_cast<Policy>(fields.enumValue("placement", policyNames, 0));
    constexpr auto seedMax = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    init.seed = fields.number("seed", { 0, seedMax, init.seed });
}

} // namespace

auto parseSettings(std::string_view text, std::string_view file) -> tl::expected<Settings, Findings>
{
    FindingList findings(file);
    const auto document = parseTomlWithErrors(text, findings);
    auto settings = SettingsReader(document, findings).parse();
    if (!findings.isEmpty()) {
        return tl::unexpected(findings.takeSorted());
    }
    return settings;
}

} // namespace flamingograde
