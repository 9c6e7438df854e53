/// Puts a table in force.
#pragma once

#include <flamingograde/revision.h>
#include <flamingograde/table.h>

#include <string>

namespace flamingograde {

class Blackboard;

/// Makes `table` the one in force: opens and closes the rows' addresses, quarantines addresses that
/// change their service, and remembers the last table for `ConfigState::keyPlacedSince`.
/// Precondition: `revision` is above that in force.
auto adoptTable(Blackboard &board, Table table, Revision revision, const std::string &text) -> void;

} // namespace flamingograde
