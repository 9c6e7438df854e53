/// The sub-commands.
#pragma once

#include "arguments.h"
#include "exitcode.h"

#include <string_view>
#include <vector>

namespace flamingograde::ctl {

/// One sub-command.
struct Command
{
    std::string_view name;
    std::string_view summary;
    const char *operands;        ///< Shown in the help.
    std::size_t operandCount;    ///< The exact number of operands.
    std::vector<Option> options; ///< In addition to --help and --version.
    ExitCode (*run)(const Arguments &arguments);
};

/// Returns all sub-commands in the order in which the help lists them.
/// @remarks Thread safe.
[[nodiscard]] auto allCommands() -> const std::vector<Command> &;

} // namespace flamingograde::ctl
