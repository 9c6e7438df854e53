/// The operators' command-line tool: validates, prints and compares routing tables, and queries and
/// stops hosts.
#include "command.h"

#include "table/nearest.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace {

using namespace flamingograde;
using namespace flamingograde::ctl;

constexpr std::string_view program = "flamingogradectl";
constexpr int commandColumnWidth = 10;

auto usageError(const std::string &text, const std::string &helpCommand) -> ExitCode
{
    std::cerr << program << ": " << text << "\n"
              << "see " << helpCommand << " --help\n";
    return ExitCode::UsageError;
}

auto printVersion() -> ExitCode
{
    std::cout << program << " " << FLAMINGOGRADE_VERSION << "\n";
    return ExitCode::Success;
}

auto mainSyntax() -> Syntax
{
    return { std::string(program), "COMMAND [ARGUMENT...]", {}, true };
}

auto printMainHelp() -> ExitCode
{
    printHelp(mainSyntax());
    std::cout << "\nCommands:\n";
    for (const auto &command : allCommands()) {
        std::cout << "  " << std::left << std::setw(commandColumnWidth) << command.name
                  << command.summary << "\n";
    }
    std::cout << "\nExit status: 0 success, nothing found; 1 findings or failure; 2 usage error.\n"
              << "HOST is the host's admin address IP:PORT.\n";
    return ExitCode::Success;
}

auto runCommand(const Command &command, const std::vector<std::string> &rawArguments) -> ExitCode
{
    const auto name = std::string(program) + " " + std::string(command.name);
    const Syntax syntax { name, command.operands, command.options, false };
    const auto arguments = readArguments(syntax, rawArguments);
    if (!arguments) {
        return usageError(arguments.error(), name);
    }
    if (arguments->help) {
        printHelp(syntax);
        std::cout << "\nTo " << command.summary << ".\n";
        return ExitCode::Success;
    }
    if (arguments->version) {
        return printVersion();
    }
    if (arguments->operands.size() != command.operandCount) {
        return usageError(std::string(command.name) + " takes " + command.operands, name);
    }
    return command.run(*arguments);
}

auto unknownCommand(const std::string &name) -> ExitCode
{
    std::vector<std::string_view> names;
    for (const auto &command : allCommands()) {
        names.push_back(command.name);
    }
    const auto suggestion = nearestWord(name, names);
    const auto hint = suggestion.empty() ? "the commands are " + joinWords(names)
                                         : "did you mean " + std::string(suggestion) + "?";
    return usageError("there is no command \"" + name + "\"; " + hint, std::string(program));
}

auto runMain(const std::vector<std::string> &rawArguments) -> ExitCode
{
    const auto arguments = readArguments(mainSyntax(), rawArguments);
    if (!arguments) {
        return usageError(arguments.error(), std::string(program));
    }
    if (arguments->help) {
        return printMainHelp();
    }
    if (arguments->version) {
        return printVersion();
    }
    if (arguments->operands.empty()) {
        return usageError("give a command", std::string(program));
    }
    const auto &name = arguments->operands.front();
    const auto &commands = allCommands();
    const auto command =
            std::find_if(commands.begin(), commands.end(),
                         [&name](const auto &candidate) { return candidate.name == name; });
    if (command == commands.end()) {
        return unknownCommand(name);
    }
    return runCommand(*command, { arguments->operands.begin() + 1, arguments->operands.end() });
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return static_cast<int>(runMain({ argv + 1, argv + argc }));
}
