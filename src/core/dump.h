/// Counters and state dump of a host for operators.
#pragma once

#include <flamingograde/stats.h>

#include <string>

namespace flamingograde {

class Blackboard;

/// Returns the counters with the gauges filled in.
[[nodiscard]] auto statsOf(const Blackboard &board) -> Stats;

/// Returns the whole state as JSON text. Of the exchanges, the oldest `dumpListMax` are listed and
/// all are counted.
[[nodiscard]] auto dumpOf(const Blackboard &board) -> std::string;

/// Largest number of exchanges that are listed in a dump.
inline constexpr std::size_t dumpListMax = 1000;

} // namespace flamingograde
