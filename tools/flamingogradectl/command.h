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
    const char *operands;        ///< As the help shows them.
    std::size_t operandCount;    ///< Exactly so many are needed.
    std::vector<Option> options; ///< Beside --help and --version.
    ExitCode (*run)(const Arguments &arguments);
};

/// Returns all sub-commands in the order of the help.
/// @remarks Thread safe.
[[nodiscard]] auto allCommands() -> const std::vector<Command> &;

} // namespace flamingograde::ctl
