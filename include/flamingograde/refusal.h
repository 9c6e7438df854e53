/// Refusals of requests.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/verdict.h>

#include <cstdint>
#include <string_view>

namespace flamingograde {

/// Reasons for a refusal. Each has an HTTP status and a word that the answer carries.
enum class RefusalReason : std::uint8_t {
    UnknownService, ///< No row has the address of the request.
    BadToken,       ///< The flow token is malformed, forged or signed by an unknown key.
    StaleToken,     ///< The token's upstream has left, so its flow cannot continue.
    BadKey,         ///< The idempotency key is too long or malformed.
    TooLarge,       ///< The body exceeds the row's limit.
    QueueFull,      ///< The row's queue or concurrency limit is reached.
    DeadlineUnmet,  ///< The deadline can no longer be met.
    NoUpstream,     ///< No upstream can take the request now.
    NoHome,         ///< The home host of the cell is unreachable or is changing.
    WrongHome,      ///< Between hosts: this host is not the home; place the request again.
    OldTable,       ///< Between hosts: the tables of the two hosts differ in this row.
    KeyUnknown,     ///< A request with the key may have run before this host became home.
    KeyRunning,     ///< The first request with the key is still in progress.
    Lost,           ///< The connection was lost after the request may have been sent.
    Stopping,       ///< This host is stopping.
    Overloaded,     ///< This host has reached its limit of requests or feeds.
    NotReady,       ///< This host does not have a table yet.
};

/// A final answer of a host in place of an upstream's answer.
struct Refusal
{
    RefusalReason reason = RefusalReason::NoUpstream;
    Verdict verdict = Verdict::NotRun;
    Duration retryAfter { 0 }; ///< When to try again; 0: a retry does not help.
};

/// Returns the word that answers carry for the reason, such as "queue-full".
/// @remarks Thread safe.
[[nodiscard]] auto toString(RefusalReason reason) -> std::string_view;

/// Returns the reason's HTTP status.
/// @remarks Thread safe.
[[nodiscard]] auto httpStatus(RefusalReason reason) -> int;

/// Returns the reason for which answers carry `word`, or `NoHome` if the word is unknown.
/// @remarks Thread safe.
[[nodiscard]] auto refusalReasonOf(std::string_view word) -> RefusalReason;

} // namespace flamingograde
