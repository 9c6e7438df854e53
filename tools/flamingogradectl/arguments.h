/// Reads the command line.
#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace flamingograde::ctl {

/// What the command line says.
struct Arguments
{
    bool help = false;
    bool version = false;
    std::string address; ///< Of `explain`.
    std::string token;   ///< Of `explain`.
    std::string key;     ///< Of `explain`.
    std::string timeout; ///< Milliseconds to wait for a host.
    std::vector<std::string> operands;
};

/// An option that takes a value.
struct Option
{
    const char *name;
    const char *valueName;
    const char *help;
    std::string Arguments::*field;
};

/// How a command line is to be read.
struct Syntax
{
    std::string program;         ///< As the help shows it, such as "flamingogradectl check".
    std::string operands;        ///< As the help shows them, such as "FILE".
    std::vector<Option> options; ///< Beside --help and --version.
    bool stopsAtOperand = false; ///< What follows the first operand is not read as options.
};

/// Reads `words`, the command line without the program's name.
/// @returns the arguments, or what is wrong with a hint.
/// @remarks Thread safe.
[[nodiscard]] auto readArguments(const Syntax &syntax, const std::vector<std::string> &words)
        -> tl::expected<Arguments, std::string>;

/// Prints how the command is used to standard output.
/// @remarks Thread safe.
auto printHelp(const Syntax &syntax) -> void;

} // namespace flamingograde::ctl
