/// Prints the table for operators.
#include <flamingograde/tableprinter.h>

#include "table/textgrid.h"
#include "table/words.h"

#include <flamingograde/table.h>

#include <string_view>
#include <unordered_set>

namespace flamingograde {

namespace {

auto text(std::string_view words) -> std::string
{
    return std::string(words);
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

/// What one cell offers.
struct CellSum
{
    std::size_t active = 0;
    std::uint64_t slots = 0;
    std::uint64_t connections = 0;
};

auto sumOf(const Table &table, const std::vector<std::size_t> &upstreams) -> CellSum
{
    CellSum sum;
    for (const auto index : upstreams) {
        const auto &upstream = table.upstreams()[index];
        if (upstream.state == UpstreamState::Active) {
            ++sum.active;
            sum.slots += upstream.slots;
            sum.connections += upstream.connections;
        }
    }
    return sum;
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
        const auto sum = sumOf(table, upstreams);
        const auto whole = sumOf(table, table.upstreamsOf(upstream.service));
        grid.addLine({ upstream.serviceName, upstream.zoneName, std::to_string(upstreams.size()),
                       std::to_string(sum.active), std::to_string(sum.slots),
                       std::to_string(sum.connections), shareText(sum.slots, whole.slots) });
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
