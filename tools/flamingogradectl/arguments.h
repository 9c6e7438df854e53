/// Parses command lines.
#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace flamingograde::ctl {

/// The parsed command line.
struct Arguments
{
    bool help = false;
    bool version = false;
    std::string address; ///< `explain`: the address of the row, IP:PORT.
    std::string token;   ///< `explain`: the token of the flow.
    std::string key;     ///< `explain`: the idempotency key of the request.
    std::string timeout; ///< Longest wait for the host, in milliseconds; empty for the default.
    std::vector<std::string> operands;
};

/// An option that takes a value, and the field of `Arguments` that receives it.
struct Option
{
    const char *name;
    const char *valueName;
    const char *help;
    std::string Arguments::*field;
};

/// The options and operands that a command line accepts.
struct Syntax
{
    std::string program;         ///< Shown in the help, such as "flamingogradectl check".
    std::string operands;        ///< Shown in the help, such as "FILE".
    std::vector<Option> options; ///< In addition to --help and --version.
    bool stopsAtOperand = false; ///< Nothing after the first operand is parsed as an option.
};

/// Parses `rawArguments`, the command line without the program's name.
/// @returns the arguments, or an error message that may suggest a correction.
/// @remarks Thread safe.
[[nodiscard]] auto readArguments(const Syntax &syntax, const std::vector<std::string> &rawArguments)
        -> tl::expected<Arguments, std::string>;

/// Prints the usage and the options to standard output.
/// @remarks Thread safe.
auto printHelp(const Syntax &syntax) -> void;

} // namespace flamingograde::ctl
