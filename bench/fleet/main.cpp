/// Benchmarks real host processes and writes a JSON report. Usage: bench-fleet REPORT [PART...]
/// With PART arguments, runs only these parts and replaces their results in an existing report.
#include "controlcost.h"
#include "directbench.h"
#include "feedbench.h"
#include "policybench.h"
#include "progress.h"

#include "harness/loop.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

/// Benchmark part; `name` is its key in the report.
struct Part
{
    std::string name;
    std::function<nlohmann::json()> run;
};

auto makeParts(harness::Loop &loop, const Progress &progress) -> std::vector<Part>
{
    const std::vector<std::size_t> sizes { 3, 9, 27, 81 };
    return {
        { "direct", [&] { return measureDirect(loop, progress); } },
        { "policies", [&] { return measurePolicies(loop, progress); } },
        { "feeds", [&] { return measureFeeds(loop, progress); } },
        { "control", [&, sizes] { return measureControlCost(loop, progress, sizes); } },
        { "edits", [&] { return measureEditCost(loop, progress); } },
    };
}

/// Returns the report in `file`; an empty one if the file cannot be opened.
auto readReport(const std::string &file) -> nlohmann::json
{
    std::ifstream in(file);
    return in ? nlohmann::json::parse(in) : nlohmann::json::object();
}

/// Runs the parts in `names`, or all if it is empty, and writes the report after each part.
auto run(harness::Loop &loop, const std::string &file, const std::vector<std::string> &names)
        -> void
{
    const Progress progress;
    const auto parts = makeParts(loop, progress);
    for (const auto &name : names) {
        const auto hasName = [&](const Part &part) { return part.name == name; };
        if (std::none_of(parts.begin(), parts.end(), hasName)) {
            throw std::runtime_error("no benchmark part named " + name);
        }
    }
    auto report = names.empty() ? nlohmann::json::object() : readReport(file);
    for (const auto &part : parts) {
        const auto isSelected = std::find(names.begin(), names.end(), part.name) != names.end();
        if (names.empty() || isSelected) {
            progress.print("part " + part.name);
            report[part.name] = part.run();
            std::ofstream(file) << report.dump(2) << "\n";
        }
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc < 2) {
        std::cerr << "usage: bench-fleet REPORT [PART...]\n";
        return EXIT_FAILURE;
    }
    int signal = 0;
    try {
        harness::Loop loop;
        run(loop, argv[1], { argv + 2, argv + argc });
        return EXIT_SUCCESS;
    } catch (const harness::Interrupted &stop) {
        signal = stop.signal;
    } catch (const std::exception &error) {
        std::cerr << "bench-fleet: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
    std::signal(signal, SIG_DFL);
    std::raise(signal);
    return EXIT_FAILURE;
}
