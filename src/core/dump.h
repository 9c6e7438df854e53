/// The state of a host for operators.
#pragma once

#include <flamingograde/stats.h>

#include <string>

namespace flamingograde {

class Blackboard;

/// Returns the counters with the gauges filled in.
[[nodiscard]] auto statsOf(const Blackboard &board) -> Stats;

/// Returns the whole state as JSON text. Long lists are cut at `dumpListMax` and say so.
[[nodiscard]] auto dumpOf(const Blackboard &board) -> std::string;

/// Most exchanges listed one by one in a dump.
inline constexpr std::size_t dumpListMax = 1000;

} // namespace flamingograde
