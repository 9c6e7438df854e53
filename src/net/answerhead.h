/// Parsing and building of response heads.
#pragma once

#include "net/httphead.h"

#include <flamingograde/event.h>
#include <flamingograde/refusal.h>

#include <cstdint>
#include <string>

namespace flamingograde::net {

/// The sender of a response.
enum class AnswerSource : std::uint8_t {
    Upstream,
    Home, ///< The home host: relays an upstream's response or refuses the request itself.
};

/// Extracts the fields of a response head that the balancer library needs. Thread safe.
[[nodiscard]] auto readAnswerHead(const HttpHead &head, AnswerSource source) -> AnswerHead;

/// Returns whether the response is a stream of server-sent events. Thread safe.
[[nodiscard]] auto isEventStream(const HttpHead &head) -> bool;

/// Returns the head to forward to the caller: without hop-by-hop headers and, for an upstream's
/// response, with the verdict header added.
/// @param setToken the flow token to set as a cookie; empty for none.
/// @remarks Thread safe.
[[nodiscard]] auto forwardedHead(const HttpHead &head, AnswerSource source,
                                 const std::string &setToken) -> HttpHead;

/// Returns the response head of a refusal. Thread safe.
[[nodiscard]] auto refusalHead(const Refusal &refusal) -> HttpHead;

/// Returns the JSON response body of a refusal. Thread safe.
[[nodiscard]] auto refusalBody(const Refusal &refusal) -> std::string;

} // namespace flamingograde::net
