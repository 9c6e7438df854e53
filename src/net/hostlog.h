/// The host's log on standard output.
#pragma once

#include "wire/settings.h"

#include <flamingograde/clock.h>
#include <flamingograde/logevent.h>

#include <string>

namespace flamingograde::net {

/// Initialises the log. Its lines consist of `time=... level=... event=NUMBER name=NAME` and the
/// event's own fields. Precondition: called once, before `writeLog`.
auto openLog(LogLevel level) -> void;

/// Logs one event; drops it if its level is disabled or the rate limit or the buffer limit of the
/// log is reached. Never blocks.
/// @param text the event's fields, as space-separated `key=value` pairs.
/// Precondition: the log is open.
auto writeLog(LogEvent event, const std::string &text) -> void;

/// Returns whether a line about a packet may be logged now, and counts it against their rate limit.
/// Such lines have a separate limit because their number grows with the load.
/// Precondition: the log is open.
[[nodiscard]] auto mayLogPacket(MonoTime now) -> bool;

/// Writes buffered lines to standard output without blocking, and logs how many lines were dropped.
/// Precondition: the log is open; called in each iteration of the event loop.
auto flushLog(MonoTime now) -> void;

} // namespace flamingograde::net
