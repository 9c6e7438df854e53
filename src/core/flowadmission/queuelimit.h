/// How long the queues of a service may become before a new request is not worth placing.
#pragma once

#include <flamingograde/clock.h>

#include <optional>

namespace flamingograde {

/// Measured times on which a queue limit is based.
struct QueueTimes
{
    Duration handshake { 0 };         ///< Mean time from an opening to the caller's next packet.
    std::optional<Duration> slotTime; ///< Mean time that a slot takes for a request; nothing before
                                      ///< it is measured.
    Duration spread { 0 };            ///< Time above the mean within which most requests end.
};

/// Returns the requests per slot at which most requests of a row are still answered within `goal`,
/// the row's target. Only requests that find fewer ahead are worth placing.
///
/// With n requests at a slot, the last one ends after n slot times on average. Times that differ by
/// chance even out, so that most such sums end within n slot times and the spread times the root
/// of n. Before, the flow's opening and the request itself take a round trip each. Never less than
/// `config::roomPerSlot`, so that slots do not run idle where a target cannot be met at all.
/// Precondition: none. Thread safe.
[[nodiscard]] auto queueLimit(const QueueTimes &times, Duration goal) -> double;

/// Returns the part of a queue limit that rows of one urgency may use.
///
/// Less urgent rows find the queue full earlier, so that a more urgent row always finds room that
/// theirs cannot take. Precondition: `rank` is below `levels`. Thread safe.
/// @param limit the limit for the most urgent rows.
/// @param rank number of less urgent levels that callers ask for.
/// @param levels number of urgency levels that callers ask for.
[[nodiscard]] auto limitOfLevel(double limit, unsigned rank, unsigned levels) -> double;

} // namespace flamingograde
