/// Interpretation of an upstream's response head: whether the upstream executed the request.
#pragma once

#include <flamingograde/event.h>

namespace flamingograde {

/// Returns whether a response head states that the upstream did not execute the request: it shed
/// the request, or it does not serve the request's service (status 421).
/// @remarks Thread safe.
[[nodiscard]] inline auto isNotRunResponse(const AnswerHead &head) -> bool
{
    constexpr int misdirected = 421;
    return head.shed || head.status == misdirected;
}

/// Returns whether a response head states that the deadline has passed (status 504). Whether the
/// upstream executed the request is then unknown.
/// @remarks Thread safe.
[[nodiscard]] inline auto isDeadlineResponse(const AnswerHead &head) -> bool
{
    constexpr int gatewayTimeout = 504;
    return head.status == gatewayTimeout;
}

} // namespace flamingograde
