/// The sub-commands that ask a host at its admin address.
#pragma once

#include "arguments.h"
#include "exitcode.h"

namespace flamingograde::ctl {

/// Prints a host's state.
[[nodiscard]] auto runDump(const Arguments &arguments) -> ExitCode;

/// Prints where a request would go now, and why.
[[nodiscard]] auto runExplain(const Arguments &arguments) -> ExitCode;

/// Stops a host in order.
[[nodiscard]] auto runDrain(const Arguments &arguments) -> ExitCode;

} // namespace flamingograde::ctl
