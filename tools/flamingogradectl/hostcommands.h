/// The sub-commands that call a host's admin address.
#pragma once

#include "arguments.h"
#include "exitcode.h"

namespace flamingograde::ctl {

/// Prints the state of a host.
[[nodiscard]] auto runDump(const Arguments &arguments) -> ExitCode;

/// Prints where a host would route a request now, and why.
[[nodiscard]] auto runExplain(const Arguments &arguments) -> ExitCode;

/// Requests a host to stop gracefully.
[[nodiscard]] auto runDrain(const Arguments &arguments) -> ExitCode;

} // namespace flamingograde::ctl
