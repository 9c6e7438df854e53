/// Controller that ends each request exactly once: by an answer, a refusal, a cancellation or its
/// deadline.
#pragma once

#include <flamingograde/event.h>

#include <cstdint>

namespace flamingograde {

class Blackboard;

/// Handles the transport's reports on sent requests, callers that leave and deadlines that pass.
///
/// A request that was provably not run is placed again while attempts and retry budget last. A
/// request that may have been run is placed again only if it is idempotent.
/// @remarks Not thread safe.
class OutcomeController
{
public:
    /// Handles one event. Precondition: none.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    std::uint64_t checkedMembership = 0; ///< Membership version at which relays were last checked.
};

} // namespace flamingograde
