/// What an upstream's answer says of the execution of its request.
#pragma once

#include <flamingograde/event.h>

namespace flamingograde {

/// Returns whether an answer's head says that the upstream ran nothing: it shed the request, or it
/// belongs to another service.
/// @remarks Thread safe.
[[nodiscard]] inline auto saysUnrun(const AnswerHead &head) -> bool
{
    constexpr int misdirected = 421;
    return head.shed || head.status == misdirected;
}

/// Returns whether an answer's head says that the deadline has passed. Whether the request was run
/// is not known then.
/// @remarks Thread safe.
[[nodiscard]] inline auto saysTooLate(const AnswerHead &head) -> bool
{
    constexpr int gatewayTimeout = 504;
    return head.status == gatewayTimeout;
}

} // namespace flamingograde
