/// Judges what was run by what the upstreams wrote down.
#pragma once

#include "harness/fleet.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace harness {

/// Compares the ledgers of all upstreams with what the callers of `loads` were told.
/// @returns `runs`, `double_runs` (keys run more than once anywhere), `wrong_not_run` (keys told
/// "not-run" that were run), `missing_runs` (keys told "run" that no ledger has), `misdirected`,
/// `over_slots`, and the `keys` at fault.
[[nodiscard]] auto checkLedgers(Fleet &fleet, const std::vector<std::string> &loads)
        -> nlohmann::json;

} // namespace harness
