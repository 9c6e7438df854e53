/// How far the table in force has come in the fleet.
#pragma once

namespace flamingograde {

class Blackboard;

/// Tells hosts that have an older table of the one in force.
auto announceTable(Blackboard &board) -> void;

/// Notes whether all hosts have the table in force. A silent one may go on with an older.
auto reviewSettled(Blackboard &board) -> void;

} // namespace flamingograde
