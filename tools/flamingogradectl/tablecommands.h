/// The sub-commands that read tables from files.
#pragma once

#include "arguments.h"
#include "exitcode.h"

namespace flamingograde::ctl {

/// Prints every error in a table. @returns `Findings` if there are any.
[[nodiscard]] auto runCheck(const Arguments &arguments) -> ExitCode;

/// Prints a table in aligned columns. @returns `Findings` if the table has errors, which are then
/// printed instead.
[[nodiscard]] auto runShow(const Arguments &arguments) -> ExitCode;

/// Prints what an edit of a table changes. @returns `Findings` if a change is dangerous or one of
/// the tables has errors.
[[nodiscard]] auto runDiff(const Arguments &arguments) -> ExitCode;

} // namespace flamingograde::ctl
