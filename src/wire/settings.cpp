/// Reads the settings of a host from TOML.
#include "wire/settings.h"

#include "table/entries.h"
#include "table/findinglist.h"
#include "table/tomldraft.h"
#include "table/tomltext.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

namespace flamingograde {

namespace {

using Words = std::vector<std::string_view>;

constexpr std::uint64_t stopTimeoutMaxMs = 3600000;
constexpr std::uint64_t clockBoundMaxMs = 60000;
constexpr std::uint64_t countMax = 10000000;
constexpr std::uint64_t portMax = 65535;
constexpr double linkMbpsMax = 1000000; ///< A terabit: more is no link of today.
constexpr std::uint64_t flowsTrackedMin = 8;
constexpr std::string_view defaultListen = "127.0.0.1:0";

const Words sections { "host",     "listen", "advertise", "network", "packets",
                       "platform", "seed",   "limits",    "log",     "policy" };
const Words hostFields { "name", "zone", "link_mbps" };
const Words listenFields { "services", "peer", "relay", "admin", "ready", "ready_path" };
const Words advertiseFields { "peer", "relay" };
const Words networkFields { "source" };
const Words packetFields { "listen", "caller_port", "flows_tracked" };
const Words platformFields { "address", "publishes" };
const Words publishedWords { "table", "directory" };
const Words seedFields { "name", "zone", "peer", "relay" };
const Words limitFields { "stop_timeout_ms", "clock_bound_ms", "exchanges_max",
                          "feeds_max",       "cold_excess",    "cold_slack" };
const Words logFields { "level" };
const Words policyFields { "placement", "seed" };
const Words levelWords { "error", "warn", "info", "debug" };
const Words policyWords { "cell-home", "upstream-home", "local-least-loaded", "two-choices",
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

/// Reads the sections of one settings file.
class SettingsReader
{
public:
    SettingsReader(const TomlText &read, FindingList &list) : text(read), findings(list) {}

    auto take() -> Settings
    {
        refuseUnknownSections(this->text, sections, "the settings have", false, this->findings);
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
    auto reader(std::string_view section, const Words &fields) -> FieldReader;
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

    const TomlText &text;
    FindingList &findings;
    toml::table none; ///< Stands for a missing section.
    Settings settings;
};

/// Returns a reader of a section whose unknown fields and wrong form are reported.
auto SettingsReader::reader(std::string_view section, const Words &fields) -> FieldReader
{
    const auto *node = this->text.root.get(section);
    const auto *table = node != nullptr ? node->as_table() : nullptr;
    if (node != nullptr && table == nullptr) {
        this->findings.add(placeOf(node->source()), std::string(section) + " is not a section",
                           "begin it with [" + std::string(section) + "]");
    }
    const auto isWrong = table == nullptr && (node != nullptr || !this->text.isWhole);
    const auto isBroken =
            isWrong
            || (table != nullptr
                && this->text.brokenSections.count(placeOf(table->source()).line) != 0);
    FieldReader result(table != nullptr ? *table : this->none, section, isBroken, this->findings);
    result.refuseUnknown(fields);
    return result;
}

/// Reads where to listen; port 0 stands for any free port.
auto SettingsReader::listenAddress(FieldReader &fields, std::string_view key) -> Address
{
    const auto word = fields.has(key) ? fields.text(key) : defaultListen;
    const auto address = Address::parse(word);
    if (!address) {
        fields.fault(key, address.error(), "give IP:PORT, such as \"127.0.0.1:0\"");
        return {};
    }
    return *address;
}

auto SettingsReader::sourceAddress(FieldReader &fields, std::string_view key) -> Address
{
    if (!fields.has(key)) {
        return {};
    }
    const auto word = fields.text(key);
    const auto address = Address::parse(std::string(word) + ":0");
    if (!address || !address->isValid()) {
        fields.fault(key, "is not an IP number", "give an IPv4 number, such as \"10.0.0.1\"");
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
        fields.fault("ready_path", "is no path", "begin it with \"/\"");
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
    if (!isPowerOfTwo(this->settings.init.flowsTracked)) {
        fields.fault("flows_tracked", "is no power of two", "give such as 16384");
    }
}

auto SettingsReader::readServices(FieldReader &fields) -> void
{
    constexpr std::string_view key = "services";
    if (!fields.has(key)) {
        return;
    }
    const auto word = fields.text(key);
    if (word == "table") {
        return;
    }
    const auto address = Address::parse(word);
    if (!address || address->port != 0) {
        fields.fault(key, "is neither \"table\" nor an IP number with port 0",
                     "give \"table\", or such as \"127.0.0.1:0\"");
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
    this->settings.init.readsDirectory = fields.word("publishes", publishedWords, 0) == 1;
}

auto SettingsReader::readSeeds() -> void
{
    forEachEntry(this->text, "seed", this->findings,
                 [this](FieldReader &fields) { this->readSeed(fields); });
}

auto SettingsReader::readSeed(FieldReader &fields) -> void
{
    fields.refuseUnknown(seedFields);
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
    constexpr auto usual = static_cast<std::size_t>(LogLevel::Info);
    this->settings.logLevel = static_cast<LogLevel>(fields.word("level", levelWords, usual));
}

auto SettingsReader::readPolicy() -> void
{
    auto fields = this->reader("policy", policyFields);
    auto &init = this->settings.init;
    init.policy = static_cast<Policy>(fields.word("placement", policyWords, 0));
    constexpr auto seedMax = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    init.seed = fields.number("seed", { 0, seedMax, init.seed });
}

} // namespace

auto parseSettings(std::string_view text, std::string_view file) -> tl::expected<Settings, Findings>
{
    FindingList findings(file);
    const auto read = readToml(text, findings);
    auto settings = SettingsReader(read, findings).take();
    if (!findings.isEmpty()) {
        return tl::unexpected(findings.takeSorted());
    }
    return settings;
}

} // namespace flamingograde
