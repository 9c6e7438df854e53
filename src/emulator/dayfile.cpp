/// Parser for day files (TOML).
#include "emulator/dayfile.h"

#include "emulator/troubles.h"
#include "table/entries.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace flamingograde::emulator {

namespace {

using Names = std::vector<std::string_view>;

constexpr std::uint64_t durationMaxMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t countMax = 100000;
constexpr std::uint64_t rateMax = 1000000;
constexpr std::uint64_t percentMax = 100000;
constexpr std::uint64_t seedMax = 1ULL << 62U;
constexpr double percent = 100;

const Names sections { "day", "host", "zone", "upstreams", "row", "share", "trouble" };
const Names dayFields { "name",   "seed",           "lead_ms",      "stale_ms",    "length_ms",
                        "policy", "drain_bound_ms", "loss_percent", "cold_policy", "admission" };
const Names hostFields { "start_ms", "restart_ms", "packet_us", "message_us" };
const Names zoneFields { "name", "hosts", "requests_per_second" };
const Names upstreamFields { "service", "zone",    "count",          "slots",
                             "queue",   "cold_ms", "cold_per_second" };
const Names rowFields { "name",        "address",       "service",      "idempotent", "long_flows",
                        "share",       "request_bytes", "answer_bytes", "work_us",    "target_ms",
                        "deadline_ms", "worth_percent", "late_percent", "retries",    "urgency" };
const Names shareFields { "row", "service", "weight" };
const Names troubleFields { "kind",          "at_ms",          "for_ms", "gap_ms",  "count",
                            "share_percent", "factor_percent", "zone",   "service", "how" };
const Names policyNames { "least-busy", "random", "hash", "least-busy-of-all" };
const Names coldPolicyNames { "owner", "split", "unlimited" };

/// Parses the sections of one day file.
class DayParser
{
public:
    DayParser(const ParsedToml &read, FindingList &list) : text(read), findings(list) {}

    auto take() -> DayPlan
    {
        reportUnknownSections(this->text, sections, "a day has", true, this->findings);
        const auto each = [this](std::string_view section, void (DayParser::*read)(FieldReader &)) {
            forEachEntry(this->text, section, this->findings,
                         [this, read](FieldReader &fields) { (this->*read)(fields); });
        };
        this->readDay();
        this->readHost();
        each("zone", &DayParser::readZone);
        each("upstreams", &DayParser::readUpstreams);
        each("row", &DayParser::readRow);
        each("share", &DayParser::readShare);
        each("trouble", &DayParser::readTrouble);
        return std::move(this->plan);
    }

private:
    [[nodiscard]] auto section(std::string_view name) const -> const toml::table &;
    static auto time(FieldReader &fields, std::string_view key, Duration defaultValue) -> Duration;
    auto readDay() -> void;
    auto readHost() -> void;
    auto readZone(FieldReader &fields) -> void;
    auto readUpstreams(FieldReader &fields) -> void;
    auto readRow(FieldReader &fields) -> void;
    static auto readLoad(FieldReader &fields, LoadKind &load) -> void;
    auto readShare(FieldReader &fields) -> void;
    auto readTrouble(FieldReader &fields) -> void;

    const ParsedToml &text;
    FindingList &findings;
    toml::table none;
    DayPlan plan;
};

auto DayParser::section(std::string_view name) const -> const toml::table &
{
    const auto *node = this->text.root.get(name);
    const auto *table = node == nullptr ? nullptr : node->as_table();
    return table == nullptr ? this->none : *table;
}

/// Reads a duration in milliseconds.
auto DayParser::time(FieldReader &fields, std::string_view key, Duration defaultValue) -> Duration
{
    const auto fallback = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(defaultValue).count());
    return std::chrono::milliseconds(fields.number(key, { 0, durationMaxMs, fallback }));
}

auto DayParser::readDay() -> void
{
    FieldReader fields(this->section("day"), "day", false, this->findings);
    fields.reportUnknownFields(dayFields);
    auto &day = this->plan;
    day.name = fields.name("name");
    day.seed = fields.number("seed", { 0, seedMax, day.seed });
    day.lead = time(fields, "lead_ms", day.lead);
    day.staleBy = time(fields, "stale_ms", day.staleBy);
    day.length = time(fields, "length_ms", day.length);
    day.drainBound = time(fields, "drain_bound_ms", day.drainBound);
    day.policy = static_cast<PacketPolicy>(fields.enumValue("policy", policyNames, 0));
    day.coldPolicy = static_cast<ColdPolicy>(fields.enumValue("cold_policy", coldPolicyNames, 0));
    day.admitsByLoad = fields.flag("admission", day.admitsByLoad);
    const auto lost = fields.number("loss_percent", { 0, 100, 0 });
    day.packetLoss = static_cast<double>(lost) / percent;
}

auto DayParser::readHost() -> void
{
    FieldReader fields(this->section("host"), "host", false, this->findings);
    fields.reportUnknownFields(hostFields);
    auto &host = this->plan.hosts;
    host.start = time(fields, "start_ms", host.start);
    host.restart = time(fields, "restart_ms", host.restart);
    const auto defaultValue = static_cast<std::uint64_t>(host.packet.count());
    host.packet =
            std::chrono::microseconds(fields.number("packet_us", { 0, rateMax, defaultValue }));
    const auto message = static_cast<std::uint64_t>(host.message.count());
    host.message = std::chrono::microseconds(fields.number("message_us", { 0, rateMax, message }));
}

auto DayParser::readZone(FieldReader &fields) -> void
{
    ZonePlan zone;
    fields.reportUnknownFields(zoneFields);
    zone.name = fields.name("name");
    zone.hosts = fields.number("hosts", { 0, countMax, zone.hosts });
    zone.requestsPerSecond =
            static_cast<double>(fields.number("requests_per_second", { 1, rateMax, 100 }));
    this->plan.zones.push_back(std::move(zone));
}

auto DayParser::readUpstreams(FieldReader &fields) -> void
{
    fields.reportUnknownFields(upstreamFields);
    const auto name = fields.name("service");
    const auto zone = fields.name("zone");
    auto &services = this->plan.services;
    auto found = std::find_if(services.begin(), services.end(),
                              [&](const ServicePlan &it) { return it.name == name; });
    if (found == services.end()) {
        services.push_back({});
        found = services.end() - 1;
        found->name = name;
    }
    found->upstreams[zone] += fields.number("count", { 0, countMax, 1 });
    found->slots = static_cast<std::uint32_t>(
            fields.number("slots", { 1, config::slotsMax, found->slots }));
    found->queue = fields.number("queue", { 0, countMax, found->queue });
    found->coldTime = time(fields, "cold_ms", found->coldTime);
    found->coldPerSecond = fields.positive("cold_per_second", found->coldPerSecond);
}

auto DayParser::readRow(FieldReader &fields) -> void
{
    RowPlan row;
    fields.reportUnknownFields(rowFields);
    row.load.name = fields.name("name");
    row.load.address = fields.address("address");
    row.load.urgency =
            static_cast<std::uint32_t>(fields.number("urgency", { 0, config::urgencyMax, 0 }));
    row.shares.emplace_back(fields.name("service"), 1);
    readLoad(fields, row.load);
    this->plan.rows.push_back(std::move(row));
}

auto DayParser::readLoad(FieldReader &fields, LoadKind &load) -> void
{
    const auto bytes = [&fields](std::string_view key, std::uint32_t defaultValue) {
        return static_cast<std::uint32_t>(
                fields.number(key, { 1, config::bodyBytesMax, defaultValue }));
    };
    load.idempotent = fields.flag("idempotent", load.idempotent);
    load.longFlows = fields.flag("long_flows", load.longFlows);
    load.share = static_cast<double>(fields.number("share", { 1, countMax, 1 }));
    load.requestBytes = bytes("request_bytes", load.requestBytes);
    load.answerBytes = bytes("answer_bytes", load.answerBytes);
    const auto work = static_cast<std::uint64_t>(load.work.count());
    load.work = std::chrono::microseconds(fields.number("work_us", { 0, durationMaxMs, work }));
    load.target = time(fields, "target_ms", load.target);
    load.deadline = time(fields, "deadline_ms", load.deadline);
    load.worth =
            static_cast<double>(fields.number("worth_percent", { 0, percentMax, 100 })) / percent;
    load.lateWorth =
            static_cast<double>(fields.number("late_percent", { 0, percentMax, 30 })) / percent;
    load.retries = static_cast<std::uint32_t>(fields.number("retries", { 0, 100, load.retries }));
}

auto DayParser::readShare(FieldReader &fields) -> void
{
    fields.reportUnknownFields(shareFields);
    const auto row = fields.name("row");
    const auto service = fields.name("service");
    const auto weight = fields.number("weight", { 0, config::weightMax, 1 });
    const auto found = std::find_if(this->plan.rows.begin(), this->plan.rows.end(),
                                    [&](const RowPlan &it) { return it.load.name == row; });
    if (found == this->plan.rows.end()) {
        fields.addFinding("row", "names no known row", "give the name of a [[row]] defined above");
        return;
    }
    found->shares.emplace_back(service, static_cast<std::uint32_t>(weight));
}

auto DayParser::readTrouble(FieldReader &fields) -> void
{
    TroublePlan trouble;
    fields.reportUnknownFields(troubleFields);
    trouble.kind = fields.name("kind");
    if (!trouble.kind.empty() && !isTroubleKind(trouble.kind)) {
        fields.addFinding("kind", "is no known kind of trouble",
                          "see docs/EMULATOR.md for the kinds");
    }
    trouble.at = time(fields, "at_ms", trouble.at);
    trouble.duration = time(fields, "for_ms", trouble.duration);
    trouble.gap = time(fields, "gap_ms", trouble.gap);
    trouble.count = fields.number("count", { 0, countMax, trouble.count });
    trouble.share = static_cast<double>(fields.number("share_percent", { 0, 100, 0 })) / percent;
    trouble.factor =
            static_cast<double>(fields.number("factor_percent", { 0, percentMax, 500 })) / percent;
    const auto optional = [&fields](std::string_view key) {
        return fields.has(key) ? fields.name(key) : std::string();
    };
    trouble.zone = optional("zone");
    trouble.service = optional("service");
    trouble.how = optional("how");
    this->plan.troubles.push_back(std::move(trouble));
}

} // namespace

auto parseDay(std::string_view text, std::string_view file) -> tl::expected<DayPlan, Findings>
{
    FindingList findings(file);
    const auto read = parseTomlWithErrors(text, findings);
    auto plan = DayParser(read, findings).take();
    if (!findings.isEmpty()) {
        return tl::unexpected(findings.takeSorted());
    }
    return plan;
}

} // namespace flamingograde::emulator
