#include "demoreport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

using nlohmann::json;

namespace {

/// Each of these is 0 when every promise was kept.
constexpr std::array<const char *, 12> promises {
    "broken_flows",  "lost_events",      "repeated_events",     "double_runs",
    "wrong_not_run", "missing_runs",     "misdelivered",        "incomplete_answers",
    "cut_requests",  "work_after_drain", "incomplete_rollouts", "incomplete_stops"
};
constexpr double rolloutMax = 4; ///< Seconds in which an edit is to be in force everywhere.

/// Adds the number `from[field]`, if it is there, to `sum`.
auto addTo(json &sum, const json &from, const char *field) -> void
{
    sum = sum.get<std::uint64_t>() + from.value(field, std::uint64_t { 0 });
}

auto raise(json &highest, double value) -> void
{
    highest = std::max(highest.get<double>(), value);
}

} // namespace

auto DemoReport::addRollout(double seconds, bool complete) -> void
{
    raise(this->content["config_seconds_max"], seconds);
    if (!complete || seconds > rolloutMax) {
        addTo(this->content["incomplete_rollouts"], { { "n", 1 } }, "n");
    }
}

auto DemoReport::addStop(const json &stopped) -> void
{
    if (stopped.value("left", "?") != "" || stopped.value("exit_status", 1) != 0) {
        addTo(this->content["incomplete_stops"], { { "n", 1 } }, "n");
    }
}

auto DemoReport::addDrained(const std::string &upstream, const json &totals) -> void
{
    this->drained[upstream] = totals;
}

auto DemoReport::takeLoads(const std::map<std::string, json> &loads) -> void
{
    for (const auto &[row, counts] : loads) {
        if (counts.at("kind") == "feed") {
            addTo(this->content["feeds"], counts, "opened");
            for (const char *field : { "broken_flows", "lost_events", "repeated_events" }) {
                addTo(this->content[field], counts, field);
            }
        } else {
            this->takeRow(row, counts);
        }
        addTo(this->content["misdelivered"], counts, "misdelivered");
    }
}

/// A row's imbalance: these loads ask for less than the slots can do, so no row's share of the
/// slots is contended, and the table promises each row all that it asked for. The deviation is the
/// share of its requests that was not answered.
auto DemoReport::takeRow(const std::string &row, const json &counts) -> void
{
    const bool isUpload = counts.at("kind") == "upload";
    addTo(this->content[isUpload ? "uploads" : "requests"], counts, "answered");
    for (const char *field : { "incomplete_answers", "unanswered" }) {
        addTo(this->content[field], counts, field);
    }
    addTo(this->content["cut_requests"], counts, "broken");
    addTo(this->content["refused"], counts, "refused_total");
    addTo(this->content["misdelivered"], counts, "crossed");
    const json &latency = counts.at("latency_ms");
    if (!isUpload && latency.at("p50").is_number()) {
        raise(this->content["latency_ms"]["p50"], latency.at("p50"));
        raise(this->content["latency_ms"]["p99"], latency.at("p99"));
    }
    const auto sent = counts.at("sent").get<double>();
    const auto answered = counts.at("answered").get<double>();
    this->content["rows"][row] = { { "sent", sent },
                                   { "answered", answered },
                                   { "latency_ms", latency } };
    this->takeImbalance(sent > 0 ? 1 - answered / sent : 0, row);
}

/// An upstream's imbalance: its share of the runs of its service against its share of the slots,
/// as a relative deviation, among the upstreams that were active all the time.
auto DemoReport::takeLedgers(harness::Fleet &fleet, const json &check) -> void
{
    for (const char *field : { "double_runs", "wrong_not_run", "missing_runs" }) {
        this->content[field] = check.at(field);
    }
    addTo(this->content["misdelivered"], check, "misdirected");

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
            addTo(this->content["work_after_drain"],
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
            this->takeImbalance(expected > 0 ? std::abs(runs / expected - 1) : 1, name);
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
    for (const char *field : promises) {
        const auto count = this->content.at(field).get<std::uint64_t>();
        out << std::left << std::setw(22) << field << std::setw(8) << count
            << (count == 0 ? "kept" : "BROKEN") << "\n";
    }
    return out.str();
}

auto DemoReport::promisesKept() const -> bool
{
    return std::all_of(promises.begin(), promises.end(),
                       [this](const char *field) { return this->content.at(field) == 0; });
}

auto DemoReport::takeImbalance(double deviation, const std::string &of) -> void
{
    if (deviation > this->content["imbalance"].get<double>()) {
        this->content["imbalance"] = deviation;
        this->content["imbalance_of"] = of;
    }
}
