/// How far the table in force has come in the fleet.
#pragma once

namespace flamingograde {

class Blackboard;

/// Tells hosts that have an older table of the one in force.
auto announceTable(Blackboard &board) -> void;

/// Notes whether all hosts place keys as this one. A silent one may go on with an older table.
auto reviewPlacements(Blackboard &board) -> void;

} // namespace flamingograde
