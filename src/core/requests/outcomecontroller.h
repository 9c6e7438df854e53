/// Brings each request to its one end: answer, refusal, cancellation or deadline.
#pragma once

#include <flamingograde/event.h>

#include <cstdint>

namespace flamingograde {

class Blackboard;

/// Takes the transport's reports on requests that were sent somewhere, the leaving of callers and
/// the passing of deadlines.
///
/// What was surely not run is placed again while attempts and budget last. What may have been run
/// is placed again only if it is idempotent.
/// @remarks Not thread safe.
class OutcomeController
{
public:
    /// Takes one event. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    std::uint64_t members = 0; ///< The membership under which all relays were last looked at.
};

} // namespace flamingograde
