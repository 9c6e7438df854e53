/// Formats a routing table as text for operators.
#include <flamingograde/tableprinter.h>

#include "table/formatting.h"
#include "table/textgrid.h"

#include <flamingograde/table.h>

#include <string_view>
#include <unordered_set>

namespace flamingograde {

namespace {

auto text(std::string_view view) -> std::string
{
    return std::string(view);
}

auto printRows(const Table &table) -> std::string
{
    TextGrid grid({ "ROW", "SERVICE", "ADDRESS", "KIND", "IDEMPOTENT", "WEIGHT", "URGENCY",
                    "CONCURRENT", "QUEUE", "DEADLINE_MS", "BODY_MAX" });
    for (const auto &row : table.rows()) {
        grid.addLine({ row.name, row.serviceName, row.address.toString(), text(toString(row.kind)),
                       text(toString(row.idempotent)), std::to_string(row.weight),
                       std::to_string(row.urgency),
                       row.concurrent == 0 ? "" : std::to_string(row.concurrent),
                       std::to_string(row.queue), std::to_string(toMilliseconds(row.deadline)),
                       std::to_string(row.bodyMax) });
    }
    return grid.toString();
}

auto printUpstreams(const Table &table) -> std::string
{
    TextGrid grid({ "UPSTREAM", "SERVICE", "ZONE", "ADDRESS", "SLOTS", "CONNECTIONS", "STATE" });
    for (const auto &upstream : table.upstreams()) {
        grid.addLine({ upstream.name, upstream.serviceName, upstream.zoneName,
                       upstream.address.toString(), std::to_string(upstream.slots),
                       std::to_string(upstream.connections), text(toString(upstream.state)) });
    }
    return grid.toString();
}

/// Totals of the active upstreams of one cell or service.
struct CapacityTotals
{
    std::size_t active = 0;
    std::uint64_t slots = 0;
    std::uint64_t connections = 0;
};

auto totalsOf(const Table &table, const std::vector<std::size_t> &upstreams) -> CapacityTotals
{
    CapacityTotals totals;
    for (const auto index : upstreams) {
        const auto &upstream = table.upstreams()[index];
        if (upstream.state == UpstreamState::Active) {
            ++totals.active;
            totals.slots += upstream.slots;
            totals.connections += upstream.connections;
        }
    }
    return totals;
}

auto shareText(std::uint64_t part, std::uint64_t whole) -> std::string
{
    return percentText(whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole));
}

auto printCells(const Table &table) -> std::string
{
    TextGrid grid({ "SERVICE", "ZONE", "UPSTREAMS", "ACTIVE", "SLOTS", "CONNECTIONS", "SHARE" });
    std::unordered_set<CellId> printed;
    for (const auto &upstream : table.upstreams()) {
        if (!printed.insert(upstream.cell()).second) {
            continue;
        }
        const auto &upstreams = table.upstreamsOf(upstream.cell());
        const auto totals = totalsOf(table, upstreams);
        const auto serviceTotals = totalsOf(table, table.upstreamsOf(upstream.service));
        grid.addLine({ upstream.serviceName, upstream.zoneName, std::to_string(upstreams.size()),
                       std::to_string(totals.active), std::to_string(totals.slots),
                       std::to_string(totals.connections),
                       shareText(totals.slots, serviceTotals.slots) });
    }
    return grid.toString();
}

auto printTokenKeys(const Table &table) -> std::string
{
    TextGrid grid({ "TOKEN_KEY", "SIGNING" });
    for (const auto &key : table.tokenKeys()) {
        grid.addLine({ std::to_string(key.id), text(toString(key.signing)) });
    }
    return grid.toString();
}

} // namespace

auto printTable(const Table &table) -> std::string
{
    return printRows(table) + "\n" + printUpstreams(table) + "\n" + printCells(table) + "\n"
           + printTokenKeys(table);
}

} // namespace flamingograde
