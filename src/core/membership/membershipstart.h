/// Start-up steps shared by `MembershipController` and `OverlayController`.
#pragma once

namespace flamingograde {

class Blackboard;

/// Initialises the membership state, and adds the local host and the seeds named in its settings.
/// Precondition: called once.
auto initialiseMembership(Blackboard &board) -> void;

} // namespace flamingograde
