/// Writes queues, slots and health of upstreams as JSON.
#pragma once

#include <flamingograde/ids.h>

#include <nlohmann/json_fwd.hpp>

namespace flamingograde {

class Blackboard;
struct Upstream;

/// Returns the rows of `cell` that this host has queued: their waiting and running counts, place in
/// the fair order and service time.
[[nodiscard]] auto cellRowsJson(const Blackboard &board, CellId cell) -> nlohmann::json;

/// Returns what this host knows of `upstream` beside the table.
[[nodiscard]] auto upstreamHealthJson(const Blackboard &board, const Upstream &upstream)
        -> nlohmann::json;

} // namespace flamingograde
