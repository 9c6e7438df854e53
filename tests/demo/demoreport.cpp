#include "demoreport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

using nlohmann::json;

namespace {

/// Counters of violations. Each is 0 if all guarantees held.
constexpr std::array<const char *, 12> violationCounters {
    "broken_flows",  "lost_events",      "repeated_events",     "double_runs",
    "wrong_not_run", "missing_runs",     "misdelivered",        "incomplete_answers",
    "cut_requests",  "work_after_drain", "incomplete_rollouts", "incomplete_stops"
};
constexpr double maxRolloutSeconds = 4; ///< Limit until an edit is in force on all hosts.

/// Adds the number `from[field]` to `sum`, if the field exists.
auto addField(json &sum, const json &from, const char *field) -> void
{
    sum = sum.get<std::uint64_t>() + from.value(field, std::uint64_t { 0 });
}

auto raiseMaximum(json &highest, double value) -> void
{
    highest = std::max(highest.get<double>(), value);
}

} // namespace

auto DemoReport::addRollout(double seconds, bool complete) -> void
{
    raiseMaximum(this->content["config_seconds_max"], seconds);
    if (!complete || seconds > maxRolloutSeconds) {
        addField(this->content["incomplete_rollouts"], { { "n", 1 } }, "n");
    }
}

auto DemoReport::addStop(const json &stopped) -> void
{
    if (stopped.value("left", "?") != "" || stopped.value("exit_status", 1) != 0) {
        addField(this->content["incomplete_stops"], { { "n", 1 } }, "n");
    }
}

auto DemoReport::addDrainedUpstream(const std::string &upstream, const json &totals) -> void
{
    this->drained[upstream] = totals;
}

auto DemoReport::recordLoads(const std::map<std::string, json> &loads) -> void
{
    for (const auto &[row, counts] : loads) {
        if (counts.at("kind") == "feed") {
            addField(this->content["feeds"], counts, "opened");
            for (const char *field : { "broken_flows", "lost_events", "repeated_events" }) {
                addField(this->content[field], counts, field);
            }
        } else {
            this->recordRow(row, counts);
        }
        addField(this->content["misdelivered"], counts, "misdelivered");
    }
}

/// Records the imbalance of a row as the share of its requests that was not answered: the loads of
/// the demo are below the capacity of the slots, so rows do not compete for slots and the table
/// guarantees each row all of its requests.
auto DemoReport::recordRow(const std::string &row, const json &counts) -> void
{
    const bool isUpload = counts.at("kind") == "upload";
    addField(this->content[isUpload ? "uploads" : "requests"], counts, "answered");
    for (const char *field : { "incomplete_answers", "unanswered" }) {
        addField(this->content[field], counts, field);
    }
    addField(this->content["cut_requests"], counts, "broken");
    addField(this->content["refused"], counts, "refused_total");
    addField(this->content["misdelivered"], counts, "crossed");
    const json &latency = counts.at("latency_ms");
    if (!isUpload && latency.at("p50").is_number()) {
        raiseMaximum(this->content["latency_ms"]["p50"], latency.at("p50"));
        raiseMaximum(this->content["latency_ms"]["p99"], latency.at("p99"));
    }
    const auto sent = counts.at("sent").get<double>();
    const auto answered = counts.at("answered").get<double>();
    this->content["rows"][row] = { { "sent", sent },
                                   { "answered", answered },
                                   { "latency_ms", latency } };
    this->recordImbalance(sent > 0 ? 1 - answered / sent : 0, row);
}

/// Records the imbalance of each upstream that was active throughout: the relative deviation of its
/// share of the service's runs from its share of the service's slots.
auto DemoReport::recordLedgers(harness::Fleet &fleet, const json &check) -> void
{
    for (const char *field : { "double_runs", "wrong_not_run", "missing_runs" }) {
        this->content[field] = check.at(field);
    }
    addField(this->content["misdelivered"], check, "misdirected");

    struct Service
    {
        std::map<std::string, double> runs;
        std::map<std::string, double> slots;
        double runsSum = 0;
        double slotsSum = 0;
    };
    std::map<std::string, Service> services;
    for (const auto &record : fleet.table().all("upstream")) {
        const std::string name = record.at("name");
        const auto totals = fleet.upstream(name).call({ { "cmd", "ledger" } }).at("totals");
        const auto runs = totals.at("runs").get<double>();
        if (record.value("state", "active") != "active") {
            const double before = this->drained.at(name).at("runs").get<double>();
            addField(this->content["work_after_drain"],
                     { { "n", static_cast<std::uint64_t>(runs - before) } }, "n");
            continue;
        }
        Service &service = services[record.at("service")];
        service.runs[name] = runs;
        service.slots[name] = record.at("slots");
        service.runsSum += runs;
        service.slotsSum += service.slots[name];
    }
    for (const auto &[unused, service] : services) {
        for (const auto &[name, runs] : service.runs) {
            const double expected = service.runsSum * service.slots.at(name) / service.slotsSum;
            this->recordImbalance(expected > 0 ? std::abs(runs / expected - 1) : 1, name);
        }
    }
}

auto DemoReport::toText() const -> std::string
{
    std::ostringstream out;
    const auto millis = [](const json &value) {
        return value.is_number() ? value.get<double>() : 0;
    };
    out << std::fixed << std::setprecision(1);
    out << std::left << std::setw(14) << "row" << std::right << std::setw(8) << "sent"
        << std::setw(10) << "answered" << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms"
        << "\n";
    for (const auto &[row, counts] : this->content.at("rows").items()) {
        const json &latency = counts.at("latency_ms");
        out << std::left << std::setw(14) << row << std::right << std::setw(8)
            << counts.at("sent").get<int>() << std::setw(10) << counts.at("answered").get<int>()
            << std::setw(10) << millis(latency.at("p50")) << std::setw(10)
            << millis(latency.at("p99")) << "\n";
    }
    out << "\n";
    for (const char *field : { "feeds", "requests", "uploads", "refused", "imbalance",
                               "imbalance_of", "config_seconds_max" }) {
        out << std::left << std::setw(22) << field << this->content.at(field) << "\n";
    }
    for (const char *field : violationCounters) {
        const auto count = this->content.at(field).get<std::uint64_t>();
        out << std::left << std::setw(22) << field << std::setw(8) << count
            << (count == 0 ? "kept" : "BROKEN") << "\n";
    }
    return out.str();
}

auto DemoReport::guaranteesHeld() const -> bool
{
    return std::all_of(violationCounters.begin(), violationCounters.end(),
                       [this](const char *field) { return this->content.at(field) == 0; });
}

auto DemoReport::recordImbalance(double deviation, const std::string &of) -> void
{
    if (deviation > this->content["imbalance"].get<double>()) {
        this->content["imbalance"] = deviation;
        this->content["imbalance_of"] = of;
    }
}
