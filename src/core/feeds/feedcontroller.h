/// Controller that opens, reopens and ends feeds.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/revision.h>

namespace flamingograde {

class Blackboard;

/// Opens feeds and reopens them at the same upstream after the connection is lost.
///
/// Ends a feed when its caller has to reconnect: when this host stops, or when the feed's upstream
/// was removed from the table. A stream is ended between two of its events, never inside one.
/// @remarks Not thread safe.
class FeedController
{
public:
    /// Handles one event. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    Revision checkedRevision; ///< Table revision at which all feeds were last checked.
};

} // namespace flamingograde
