/// Puts a table in force.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/revision.h>
#include <flamingograde/table.h>

#include <string>

namespace flamingograde {

class Blackboard;

/// The text from which a table was parsed, with its revision.
struct TableSource
{
    Revision revision;
    const std::string &text;
    WallTime published; ///< When the platform published it.
};

/// Puts `table` in force: opens and closes listeners, quarantines addresses that moved to another
/// service, and adds the table's placement of keys.
/// Precondition: the revision of `source` is above the one in force.
auto adoptTable(Blackboard &board, Table table, const TableSource &source) -> void;

} // namespace flamingograde
