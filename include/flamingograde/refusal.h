/// Why a request is not served.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/verdict.h>

#include <cstdint>
#include <string_view>

namespace flamingograde {

/// The reasons of a refusal. Each has an HTTP status and a word in the answer.
enum class RefusalReason : std::uint8_t {
    UnknownService, ///< No row has this address.
    BadToken,       ///< The flow token is malformed, forged or signed by an unknown key.
    StaleToken,     ///< The token's upstream is gone, so its flow cannot go on.
    BadKey,         ///< The idempotency key is too long or malformed.
    TooLarge,       ///< The body is above the row's limit.
    QueueFull,      ///< The row's queue or concurrency limit is reached.
    DeadlineUnmet,  ///< The deadline can no longer be met.
    NoUpstream,     ///< No upstream can take it now.
    NoHome,         ///< The home host of its cell cannot be reached, or is changing.
    WrongHome,      ///< Said between hosts: this host is not the home; place it again.
    OldTable,       ///< Said between hosts: the tables of the two differ in this row.
    KeyUnknown,     ///< The key may have been run before this host became home.
    KeyRunning,     ///< The key's first request is still under way.
    Lost,           ///< The connection was lost after the request may have been sent.
    Stopping,       ///< This host is stopping.
    Overloaded,     ///< This host holds as much as it may.
    NotReady,       ///< This host has no table yet.
};

/// A final answer in place of an upstream's.
struct Refusal
{
    RefusalReason reason = RefusalReason::NoUpstream;
    Verdict verdict = Verdict::NotRun;
    Duration retryAfter { 0 }; ///< When to come back; 0: coming back does not help.
};

/// Returns the reason's word, such as "queue-full".
/// @remarks Thread safe.
[[nodiscard]] auto toString(RefusalReason reason) -> std::string_view;

/// Returns the reason's HTTP status.
/// @remarks Thread safe.
[[nodiscard]] auto httpStatus(RefusalReason reason) -> int;

/// Returns the reason whose word is `word`, or `NoHome` for an unknown word.
/// @remarks Thread safe.
[[nodiscard]] auto refusalReasonOf(std::string_view word) -> RefusalReason;

} // namespace flamingograde
