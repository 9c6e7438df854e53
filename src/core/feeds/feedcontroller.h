/// Holds feeds open.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/revision.h>

namespace flamingograde {

class Blackboard;

/// Opens feeds, opens them again at the same upstream after a loss, and ends them at an event's
/// boundary where their caller has to come back: at a stop of this host, or when their upstream
/// has left the table.
/// @remarks Not thread safe.
class FeedController
{
public:
    /// Takes one event. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    Revision seen; ///< The table under which all feeds were last looked at.
};

} // namespace flamingograde
