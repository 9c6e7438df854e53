/// The cost of control by the number of hosts.
#pragma once

#include "progress.h"

#include "harness/loop.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <vector>

/// Measures fleets of `sizes` hosts in three zones: idle, under edits, under the loss of a host,
/// and how long an edit takes to be in force on all.
/// @returns the measures by size, and least-squares lines through those of fleets in which every
/// host knows every other (up to `config::flatMembershipHosts`).
[[nodiscard]] auto measureControlCost(harness::Loop &loop, const Progress &progress,
                                      const std::vector<std::size_t> &sizes) -> nlohmann::json;

/// Measures what one edit costs a host by the size of the table's text.
[[nodiscard]] auto measureEditCost(harness::Loop &loop, const Progress &progress) -> nlohmann::json;
