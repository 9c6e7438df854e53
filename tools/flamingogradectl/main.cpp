/// The operators' command line: checks, shows and compares tables, and asks hosts.
#include "command.h"

#include "table/nearest.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace {

using namespace flamingograde;
using namespace flamingograde::ctl;

constexpr std::string_view program = "flamingogradectl";
constexpr int nameWidth = 10;

auto usageError(const std::string &text, const std::string &helpCommand) -> ExitCode
{
    std::cerr << program << ": " << text << "\n"
              << "see " << helpCommand << " --help\n";
    return ExitCode::Usage;
}

auto printVersion() -> ExitCode
{
    std::cout << program << " " << FLAMINGOGRADE_VERSION << "\n";
    return ExitCode::Clean;
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
        std::cout << "  " << std::left << std::setw(nameWidth) << command.name << command.summary
                  << "\n";
    }
    std::cout << "\nExit status: 0 nothing found, 1 findings or failure, 2 wrong usage.\n"
              << "HOST is the host's admin address IP:PORT.\n";
    return ExitCode::Clean;
}

auto runCommand(const Command &command, const std::vector<std::string> &words) -> ExitCode
{
    const auto name = std::string(program) + " " + std::string(command.name);
    const Syntax syntax { name, command.operands, command.options, false };
    const auto arguments = readArguments(syntax, words);
    if (!arguments) {
        return usageError(arguments.error(), name);
    }
    if (arguments->help) {
        printHelp(syntax);
        std::cout << "\nTo " << command.summary << ".\n";
        return ExitCode::Clean;
    }
    if (arguments->version) {
        return printVersion();
    }
    if (arguments->operands.size() != command.operandCount) {
        return usageError(std::string(command.name) + " takes " + command.operands, name);
    }
    return command.run(*arguments);
}

auto unknownCommand(const std::string &word) -> ExitCode
{
    std::vector<std::string_view> names;
    for (const auto &command : allCommands()) {
        names.push_back(command.name);
    }
    const auto meant = nearestWord(word, names);
    const auto hint = meant.empty() ? "its commands are " + joinWords(names)
                                    : "did you mean " + std::string(meant) + "?";
    return usageError("there is no command \"" + word + "\"; " + hint, std::string(program));
}

auto runMain(const std::vector<std::string> &words) -> ExitCode
{
    const auto arguments = readArguments(mainSyntax(), words);
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
    const auto command = std::find_if(commands.begin(), commands.end(),
                                      [&name](const auto &each) { return each.name == name; });
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
