/// The sub-commands that read tables from files.
#include "tablecommands.h"

#include <flamingograde/tablediff.h>
#include <flamingograde/tableparser.h>
#include <flamingograde/tableprinter.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace flamingograde::ctl {

namespace {

auto readFile(const std::string &path) -> std::optional<std::string>
{
    std::ifstream file(path, std::ios::binary);
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    if (!file.is_open() || file.bad()) {
        return std::nullopt;
    }
    return text;
}

auto readTable(const std::string &path) -> tl::expected<Table, Findings>
{
    const auto text = readFile(path);
    if (!text) {
        return tl::unexpected(
                Findings { { path, 0, 0, "the file cannot be read", "check its path" } });
    }
    return parseTable(*text, path);
}

auto printFindings(const tl::expected<Table, Findings> &table) -> void
{
    if (table) {
        return;
    }
    for (const auto &finding : table.error()) {
        std::cout << finding.toString() << "\n";
    }
}

} // namespace

auto runCheck(const Arguments &arguments) -> ExitCode
{
    const auto &path = arguments.operands.front();
    const auto table = readTable(path);
    printFindings(table);
    if (!table) {
        return ExitCode::Findings;
    }
    std::cout << path << ": no fault; " << table->rows().size() << " rows, "
              << table->upstreams().size() << " upstreams\n";
    return ExitCode::Success;
}

auto runShow(const Arguments &arguments) -> ExitCode
{
    const auto table = readTable(arguments.operands.front());
    printFindings(table);
    if (!table) {
        return ExitCode::Findings;
    }
    std::cout << printTable(*table);
    return ExitCode::Success;
}

auto runDiff(const Arguments &arguments) -> ExitCode
{
    const auto before = readTable(arguments.operands[0]);
    const auto after = readTable(arguments.operands[1]);
    printFindings(before);
    printFindings(after);
    if (!before || !after) {
        return ExitCode::Findings;
    }
    const auto changes = diffTables(*before, *after);
    for (const auto &change : changes) {
        std::cout << change.toString() << "\n";
    }
    const auto hasDangerousChange =
            std::any_of(changes.begin(), changes.end(),
                        [](const auto &change) { return change.isDangerous(); });
    return hasDangerousChange ? ExitCode::Findings : ExitCode::Success;
}

} // namespace flamingograde::ctl
