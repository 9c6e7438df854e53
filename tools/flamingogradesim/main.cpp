/// Runs emulations described by day files, one after the other: for each placement policy, seed and
/// fleet size asked for.
#include "emulator/dayfile.h"
#include "emulator/dayreport.h"
#include "emulator/emulation.h"
#include "emulator/randomday.h"
#include "emulator/scaling.h"

#include <nlohmann/json.hpp>

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace flamingograde::emulator;
using flamingograde::PacketPolicy;

constexpr auto exitUsage = 2;

/// The parsed command line.
struct Options
{
    std::vector<std::string> days;
    std::string report;
    bool allPolicies = false;
    bool windows = false;
    bool randomTroubles = false;
    bool crowded = false;
    bool evacuated = false;
    bool restored = false;
    bool dark = false;
    int seeds = 1;
    int hosts = 0; ///< Hosts to scale each day to; 0 keeps the number in the day file.
};

constexpr std::array<std::pair<PacketPolicy, const char *>, 4> policies { {
        { PacketPolicy::LeastBusy, "least-busy" },
        { PacketPolicy::Random, "random" },
        { PacketPolicy::Hash, "hash" },
        { PacketPolicy::LeastBusyOfAll, "least-busy-of-all" },
} };

auto readOptions(int count, const char **arguments) -> std::optional<Options>
{
    Options options;
    char *report = nullptr;
    int all = 0;
    int windows = 0;
    int randomTroubles = 0;
    int crowded = 0;
    int evacuated = 0;
    int restored = 0;
    int dark = 0;
    const std::array<poptOption, 12> table { {
            { "policies", 'p', POPT_ARG_NONE, &all, 0, "run every placement policy", nullptr },
            { "seeds", 's', POPT_ARG_INT, &options.seeds, 0, "number of seeds to run for each day",
              "N" },
            { "hosts", 'n', POPT_ARG_INT, &options.hosts, 0, "scale the day to N hosts", "N" },
            { "windows", 'w', POPT_ARG_NONE, &windows, 0,
              "print each window's share of the worth owed", nullptr },
            { "random", 'x', POPT_ARG_NONE, &randomTroubles, 0,
              "draw the troubles (failures) of each seed at random", nullptr },
            { "crowded", 'c', POPT_ARG_NONE, &crowded, 0,
              "draw five to thirteen troubles of every kind but evacuations", nullptr },
            { "evacuated", 'e', POPT_ARG_NONE, &evacuated, 0,
              "draw five to thirteen troubles of every kind and one to three zone evacuations",
              nullptr },
            { "restored", 'b', POPT_ARG_NONE, &restored, 0,
              "draw three to six troubles of every kind and one to three restores of the store",
              nullptr },
            { "dark", 'd', POPT_ARG_NONE, &dark, 0,
              "lose most hosts at intervals, beside changes of rows and upstreams", nullptr },
            { "report", 'r', POPT_ARG_STRING, &report, 0, "write all results as JSON", "FILE" },
            POPT_AUTOHELP POPT_TABLEEND,
    } };
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
            poptGetContext("flamingogradesim", count, arguments, table.data(), 0),
            &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "DAY.toml...");
    const auto status = poptGetNextOpt(context.get());
    const std::unique_ptr<char, void (*)(void *)> reportOwner(report, &std::free);
    if (status < -1) {
        std::cerr << "flamingogradesim: " << poptBadOption(context.get(), 0) << ": "
                  << poptStrerror(status) << std::endl;
        return std::nullopt;
    }
    while (const auto *day = poptGetArg(context.get())) {
        options.days.emplace_back(day);
    }
    if (options.days.empty() || options.seeds < 1 || options.hosts < 0) {
        poptPrintUsage(context.get(), stderr, 0);
        return std::nullopt;
    }
    options.report = report != nullptr ? report : "";
    options.allPolicies = all != 0;
    options.windows = windows != 0;
    options.randomTroubles = randomTroubles != 0;
    options.crowded = crowded != 0;
    options.evacuated = evacuated != 0;
    options.restored = restored != 0;
    options.dark = dark != 0;
    return options;
}

/// Reads a day file. Prints every error in it and returns null if it is invalid.
auto readDay(const std::string &path) -> std::optional<DayPlan>
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read" << std::endl;
        return std::nullopt;
    }
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    auto day = parseDay(text, path);
    if (day) {
        return std::move(*day);
    }
    for (const auto &finding : day.error()) {
        std::cerr << finding.toString() << std::endl;
    }
    return std::nullopt;
}

auto printWindows(const DayResult &result) -> void
{
    for (std::size_t i = 0; i < result.windows.size(); ++i) {
        std::cout << "    " << 2 * i << " s: " << result.windows[i].share() << std::endl;
    }
}

/// Prints which guarantees a run violated, with the seed that reproduces it.
/// @returns whether the run violated none.
auto reportViolations(const std::string &name, std::uint64_t seed, const DayResult &result) -> bool
{
    const auto violations = result.brokenFlows + result.doubleRuns + result.wrongService
                            + result.lateOpenings + result.evacuatedOpenings + result.lateRows
                            + result.revertedRows;
    if (violations == 0) {
        return true;
    }
    std::cout << "    BROKEN: " << name << " seed " << seed << ": flows " << result.brokenFlows;
    for (const auto &[reason, count] : result.brokenBy) {
        std::cout << " (" << reason << " " << count << ")";
    }
    std::cout << ", runs " << result.doubleRuns << ", services " << result.wrongService
              << ", openings " << result.lateOpenings << ", in evacuated zones "
              << result.evacuatedOpenings << ", late rows " << result.lateRows << ", reverted rows "
              << result.revertedRows << std::endl;
    return false;
}

auto runDay(DayPlan day, const char *policy, const Options &options) -> nlohmann::json
{
    const auto name = day.name + " " + policy;
    const auto seed = day.seed;
    const auto result = Emulation(std::move(day)).play();
    std::cout << toLine(name, result) << std::endl;
    if (options.windows) {
        printWindows(result);
    }
    auto results = toJson(result);
    results["day"] = name;
    results["seed"] = seed;
    results["kept"] = reportViolations(name, seed, result);
    return results;
}

using DayDraw = DayPlan (*)(DayPlan, std::uint64_t);

/// Returns the function that draws the random changes of a day, or null if no option asks for them.
auto dayDrawOf(const Options &options) -> DayDraw
{
    if (options.dark) {
        return &darkDay;
    }
    if (options.restored) {
        return &restoredDay;
    }
    if (options.evacuated) {
        return &evacuatedDay;
    }
    if (options.crowded) {
        return &crowdedDay;
    }
    return options.randomTroubles ? &randomDay : nullptr;
}

/// Returns `day` with the random changes that the options ask for, drawn from its seed.
auto withRandomTroubles(DayPlan day, const Options &options) -> DayPlan
{
    const auto draw = dayDrawOf(options);
    if (draw == nullptr) {
        return day;
    }
    const auto seed = day.seed;
    auto drawn = draw(std::move(day), seed);
    drawn.name += "-" + std::to_string(seed);
    return drawn;
}

auto runAll(const DayPlan &day, const Options &options) -> nlohmann::json
{
    auto results = nlohmann::json::array();
    for (const auto &[policy, name] : policies) {
        if (!options.allPolicies && policy != day.policy) {
            continue;
        }
        for (int i = 0; i < options.seeds; ++i) {
            auto plan = options.hosts > 0 ? scaledTo(day, static_cast<std::size_t>(options.hosts))
                                          : day;
            plan.seed += static_cast<std::uint64_t>(i);
            plan = withRandomTroubles(std::move(plan), options);
            plan.policy = policy;
            results.push_back(runDay(std::move(plan), name, options));
        }
    }
    return results;
}

} // namespace

auto main(int count, char **arguments) -> int
{
    const auto options = readOptions(count, const_cast<const char **>(arguments));
    if (!options) {
        return exitUsage;
    }
    auto results = nlohmann::json::array();
    std::cout << lineHeader() << std::endl;
    for (const auto &path : options->days) {
        const auto day = readDay(path);
        if (!day) {
            return EXIT_FAILURE;
        }
        for (auto &result : runAll(*day, *options)) {
            results.push_back(std::move(result));
        }
    }
    if (!options->report.empty()) {
        std::ofstream(options->report) << results.dump(2) << std::endl;
    }
    const auto allPassed = std::all_of(results.begin(), results.end(), [](const auto &result) {
        return result["kept"].template get<bool>();
    });
    return allPassed ? EXIT_SUCCESS : EXIT_FAILURE;
}
