/// The sub-commands that read tables from files.
#pragma once

#include "arguments.h"
#include "exitcode.h"

namespace flamingograde::ctl {

/// Prints every fault of a table. @returns whether there are any.
[[nodiscard]] auto runCheck(const Arguments &arguments) -> ExitCode;

/// Prints a table as a spreadsheet.
[[nodiscard]] auto runShow(const Arguments &arguments) -> ExitCode;

/// Prints what an edit changes. @returns whether anything of it is dangerous.
[[nodiscard]] auto runDiff(const Arguments &arguments) -> ExitCode;

} // namespace flamingograde::ctl
