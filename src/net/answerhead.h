/// Reading and making the heads of answers.
#pragma once

#include "net/httphead.h"

#include <flamingograde/event.h>
#include <flamingograde/refusal.h>

#include <cstdint>
#include <string>

namespace flamingograde::net {

/// Who gave an answer.
enum class AnswerSource : std::uint8_t {
    Upstream,
    Home, ///< The home host, for an upstream or by a refusal of its own.
};

/// Returns what the deciding library needs of an answer's head. Thread safe.
[[nodiscard]] auto readAnswerHead(const HttpHead &head, AnswerSource source) -> AnswerHead;

/// Returns whether the answer is a stream of events. Thread safe.
[[nodiscard]] auto isEventStream(const HttpHead &head) -> bool;

/// Returns the head as it is passed on: without what concerns one connection, and with the
/// verdict.
/// @param setToken the flow token to set; empty for none.
/// @remarks Thread safe.
[[nodiscard]] auto passedHead(const HttpHead &head, AnswerSource source,
                              const std::string &setToken) -> HttpHead;

/// Returns the head of a refusal. Thread safe.
[[nodiscard]] auto refusalHead(const Refusal &refusal) -> HttpHead;

/// Returns the body of a refusal. Thread safe.
[[nodiscard]] auto refusalBody(const Refusal &refusal) -> std::string;

} // namespace flamingograde::net
