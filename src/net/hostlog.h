/// The log on standard output.
#pragma once

#include "wire/settings.h"

#include <flamingograde/clock.h>
#include <flamingograde/logevent.h>

#include <string>

namespace flamingograde::net {

/// Sets the log up: lines of `time=... level=... event=NUMBER name=NAME` and the event's own
/// fields. Precondition: called once, before `writeLog`.
auto openLog(LogLevel level) -> void;

/// Writes one numbered event, within the bounds of the log. Never blocks.
/// @param text its fields, as `key=value` words.
/// Precondition: the log is open.
auto writeLog(LogEvent event, const std::string &text) -> void;

/// Returns whether a line on a packet would be written now: those have a bound of their own, as
/// their number grows with the load. Counts it. Precondition: the log is open.
[[nodiscard]] auto maySayPacket(MonoTime now) -> bool;

/// Hands waiting lines to standard output as far as it takes them, and says what was left out.
/// Precondition: the log is open; called in each turn of the loop.
auto flushLog(MonoTime now) -> void;

} // namespace flamingograde::net
