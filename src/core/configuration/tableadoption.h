/// Puts a table in force.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/revision.h>
#include <flamingograde/table.h>

#include <string>

namespace flamingograde {

class Blackboard;

/// What a table was made of.
struct TableSource
{
    Revision revision;
    const std::string &text;
    WallTime published; ///< When the platform published it.
};

/// Makes `table` the one in force: opens and closes the rows' addresses, quarantines addresses that
/// change their service, and adds the table's placement of keys.
/// Precondition: the revision is above that in force.
auto adoptTable(Blackboard &board, Table table, const TableSource &source) -> void;

} // namespace flamingograde
