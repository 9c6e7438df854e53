/// Verifies request execution against the ledgers kept by the upstreams.
#pragma once

#include "harness/fleet.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace harness {

/// Compares the ledgers of all upstreams with the verdicts that the callers of `loads` received.
/// @returns the number of verdicts `checked`, `runs`, `double_runs` (keys that ran more than once
/// across all upstreams), `wrong_not_run` (keys reported as "not-run" that did run),
/// `missing_runs` (keys reported as "run" that are in no ledger), the totals `misdirected` and
/// `over_slots` of all ledgers, and the offending `keys` of each kind of violation.
[[nodiscard]] auto checkLedgers(Fleet &fleet, const std::vector<std::string> &loads)
        -> nlohmann::json;

} // namespace harness
