#include "hostcost.h"

#include <algorithm>

namespace {

using MetricsByHost = std::map<std::string, nlohmann::json>;

auto sample(const nlohmann::json &page, const std::string &name) -> double
{
    return page.value("flamingograde_" + name, 0.0);
}

auto computeSpread(const MetricsByHost &before, const MetricsByHost &after, const std::string &name,
                   double divisor) -> Spread
{
    Spread spread;
    for (const auto &[host, page] : after) {
        const auto begin = before.find(host);
        const auto first = begin == before.end() ? 0.0 : sample(begin->second, name);
        const auto value = (sample(page, name) - first) / divisor;
        spread.mean += value / static_cast<double>(after.size());
        spread.max = std::max(spread.max, value);
    }
    return spread;
}

} // namespace

auto HostCost::toJson() const -> nlohmann::json
{
    return { { "bytes_sent_per_second", this->bytesSent.toJson() },
             { "bytes_received_per_second", this->bytesReceived.toJson() },
             { "messages_sent_per_second", this->messagesSent.toJson() },
             { "cpu_share", this->cpuShare.toJson() },
             { "resident_bytes", this->residentBytes.toJson() },
             { "platform_calls_per_second", this->platformCalls } };
}

CostMeter::CostMeter(BareFleet &measured)
    : fleet(measured), begin(std::chrono::steady_clock::now()), before(measured.metrics()),
      callsBefore(this->platformCalls())
{}

auto CostMeter::read() -> HostCost
{
    const auto after = this->fleet.metrics();
    const auto calls = this->platformCalls() - this->callsBefore;
    const std::chrono::duration<double> interval = std::chrono::steady_clock::now() - this->begin;
    const auto rate = [&](const char *name) {
        return computeSpread(this->before, after, name, interval.count());
    };
    HostCost cost;
    cost.bytesSent = rate("peer_bytes_sent_total");
    cost.bytesReceived = rate("peer_bytes_received_total");
    cost.messagesSent = rate("peer_messages_sent_total");
    cost.cpuShare = rate("process_cpu_seconds_total");
    cost.residentBytes = computeSpread({}, after, "process_resident_bytes", 1);
    cost.platformCalls = calls / interval.count();
    return cost;
}

auto CostMeter::platformCalls() -> double
{
    return this->fleet.platform().call({ { "cmd", "counts" } }).at("calls");
}
