/// Announcement of new tables and agreement of the fleet on the placement of keys.
#pragma once

namespace flamingograde {

class Blackboard;

/// Announces the table in force to connected hosts that have an older one, to a limited number of
/// them per call.
auto announceTable(Blackboard &board) -> void;

/// Expires old placements and, when all hosts place keys as this one does, records the agreement.
/// A silent host prevents agreement unless its process has ended, as it may use an older table.
auto updatePlacementAgreement(Blackboard &board) -> void;

} // namespace flamingograde
