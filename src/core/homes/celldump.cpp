/// Converts the queues of a cell and the health of its upstreams to JSON.
#include "core/homes/celldump.h"

#include "core/blackboard.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingograde {

namespace {

using nlohmann::json;

auto milliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto rowJson(const Cell &cell, const RowQueue &row) -> json
{
    return { { "row", row.name },
             { "weight", row.weight },
             { "urgency", row.urgency },
             { "waiting", row.waiting.size() },
             { "running", row.running },
             { "turned_away", row.refusedUnserved },
             { "ahead_of_fair_share_s", row.startTag - cell.virtualTime },
             { "service_ms", milliseconds(row.serviceTime.mean()) } };
}

} // namespace

auto cellRowsJson(const Blackboard &board, CellId cell) -> json
{
    auto list = json::array();
    const auto found = board.cells.all().find(cell);
    if (found == board.cells.all().end()) {
        return list;
    }
    for (const auto &[id, row] : found->second.rows) {
        list.push_back(rowJson(found->second, row));
    }
    return list;
}

auto upstreamHealthJson(const Blackboard &board, const Upstream &upstream) -> json
{
    const auto now = board.now.mono;
    const auto *health = board.upstreams.find(upstream.id);
    if (health == nullptr) {
        return json::object();
    }
    const auto closed =
            std::max<Duration>(board.upstreams.availableAt(upstream.id) - now, Duration::zero());
    return { { "failures", health->failures },
             { "ejected", health->ejected },
             { "ejections", health->ejections },
             { "closed_for_ms", milliseconds(closed) },
             { "ramping", health->rampSince.has_value() },
             { "sheds", health->slotLimit.has_value() },
             { "doubted", health->failingProbesSince.has_value() },
             { "says_draining", health->saysDraining },
             { "load", health->load } };
}

} // namespace flamingograde
