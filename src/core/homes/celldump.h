/// Converts the queues of a cell and the health of its upstreams to JSON.
#pragma once

#include <flamingograde/ids.h>

#include <nlohmann/json_fwd.hpp>

namespace flamingograde {

class Blackboard;
struct Upstream;

/// Returns the rows of `cell` that have a queue on this host, each with its waiting and running
/// counts, its position in the weighted fair order and its service time.
[[nodiscard]] auto cellRowsJson(const Blackboard &board, CellId cell) -> nlohmann::json;

/// Returns the health that this host has observed for `upstream`; the table does not contain it.
[[nodiscard]] auto upstreamHealthJson(const Blackboard &board, const Upstream &upstream)
        -> nlohmann::json;

} // namespace flamingograde
