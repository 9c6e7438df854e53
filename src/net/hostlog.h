/// The log on standard error.
#pragma once

#include "wire/settings.h"

#include <flamingograde/logevent.h>

#include <string>

namespace flamingograde::net {

/// Sets the log up: lines of time, level, `[number]` and text on standard error.
/// Precondition: called once, before `writeLog`.
auto openLog(LogLevel level) -> void;

/// Writes one numbered event. Precondition: the log is open.
auto writeLog(LogEvent event, const std::string &text) -> void;

} // namespace flamingograde::net
