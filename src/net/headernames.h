/// Lower-case names of the HTTP headers described in docs/INTERFACES.md.
#pragma once

#include <string_view>

namespace flamingograde::net::headers {

// clang-format off

inline constexpr std::string_view headerPrefix   = "flamingograde-";
inline constexpr std::string_view verdict        = "flamingograde-verdict";
inline constexpr std::string_view reason         = "flamingograde-reason";
inline constexpr std::string_view timeout        = "flamingograde-timeout";
inline constexpr std::string_view from           = "flamingograde-from";
inline constexpr std::string_view row            = "flamingograde-row";
inline constexpr std::string_view rowAddress     = "flamingograde-row-address";
inline constexpr std::string_view upstream       = "flamingograde-upstream";
inline constexpr std::string_view remaining      = "flamingograde-remaining";
inline constexpr std::string_view deadline       = "flamingograde-deadline";
inline constexpr std::string_view idempotencyKey = "idempotency-key";
inline constexpr std::string_view lastEventId    = "last-event-id";
inline constexpr std::string_view retryAfter     = "retry-after";
inline constexpr std::string_view tokenCookie    = "flamingograde=";

// clang-format on

} // namespace flamingograde::net::headers
