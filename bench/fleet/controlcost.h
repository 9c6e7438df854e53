/// Cost of the control plane by number of hosts and by size of the table.
#pragma once

#include "progress.h"

#include "harness/loop.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <vector>

/// Measures the cost of fleets of `sizes` hosts in three zones: when idle, during table edits and
/// during the loss and replacement of a host. Also measures the time until an edit is in force on
/// all hosts.
/// @returns the results by size and, for more than one size, least-squares lines through the idle
/// costs of fleets with flat membership (up to `config::flatMembershipHosts` hosts), in which every
/// host knows every other.
[[nodiscard]] auto measureControlCost(harness::Loop &loop, const Progress &progress,
                                      const std::vector<std::size_t> &sizes) -> nlohmann::json;

/// Measures the cost of table edits on a host for a small and a large table.
/// @returns the results by length of the table's text.
[[nodiscard]] auto measureEditCost(harness::Loop &loop, const Progress &progress) -> nlohmann::json;
