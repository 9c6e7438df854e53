/// Time and memory of parsing a table of 11,000 rows and 110,000 upstreams, split by service into
/// parts under a megabyte; time of rejecting a part with many errors and of comparing two tables.
#include "unit/tabletext.h"

#include <flamingograde/config.h>
#include <flamingograde/tablediff.h>
#include <flamingograde/tableparser.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <optional>
#include <string>
#include <vector>

namespace {

using namespace flamingograde;

constexpr std::size_t parts = 25;
constexpr std::size_t servicesPerPart = 440;
constexpr std::size_t upstreamsPerService = 10;
constexpr std::size_t zones = 4;
constexpr double megabyte = 1e6;

auto partText(std::size_t part) -> std::string
{
    return writeTable(makeTable(part, servicesPerPart, upstreamsPerService, zones));
}

auto allocatedBytes() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

auto parsePart(benchmark::State &state) -> void
{
    const auto text = partText(0);
    std::size_t refused = 0;
    while (state.KeepRunning()) {
        const auto table = parseTable(text, "part");
        refused += table ? 0 : 1;
        benchmark::DoNotOptimize(table);
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
    state.counters["part_MB"] = static_cast<double>(text.size()) / megabyte;
    state.counters["refused"] = static_cast<double>(refused);
}

auto parseAllParts(benchmark::State &state) -> void
{
    std::vector<std::string> texts;
    for (std::size_t part = 0; part < parts; ++part) {
        texts.push_back(partText(part));
    }
    double held = 0;
    std::size_t bytes = 0;
    std::size_t upstreams = 0;
    std::size_t rows = 0;
    while (state.KeepRunning()) {
        const auto before = allocatedBytes();
        std::vector<Table> tables;
        bytes = rows = upstreams = 0;
        for (const auto &text : texts) {
            tables.push_back(std::move(*parseTable(text, "part")));
            bytes += text.size();
            rows += tables.back().rows().size();
            upstreams += tables.back().upstreams().size();
        }
        held = allocatedBytes() - before;
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * bytes));
    state.counters["text_MB"] = static_cast<double>(bytes) / megabyte;
    state.counters["held_MB"] = held / megabyte;
    state.counters["rows"] = static_cast<double>(rows);
    state.counters["upstreams"] = static_cast<double>(upstreams);
}

auto refusePart(benchmark::State &state) -> void
{
    auto text = partText(0);
    const auto faults = static_cast<std::size_t>(state.range(0));
    for (std::size_t i = 0; i < faults; ++i) {
        const auto at = text.find("slots = ", text.size() / (faults + 1) * (i + 1));
        text.replace(at, 9, "slots = =");
    }
    std::size_t found = 0;
    while (state.KeepRunning()) {
        const auto table = parseTable(text, "part");
        found = table ? 0 : table.error().size();
    }
    state.counters["found"] = static_cast<double>(found);
}

auto diffPart(benchmark::State &state) -> void
{
    const auto before = makeTable(0, servicesPerPart, upstreamsPerService, zones);
    auto upstreams = before.upstreams();
    for (auto &upstream : upstreams) {
        upstream.slots += 1;
    }
    const Table after(before.rows(), upstreams, before.tokenKeys());
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(diffTables(before, after));
    }
}

BENCHMARK(parsePart)->Unit(benchmark::kMillisecond);
BENCHMARK(parseAllParts)->Unit(benchmark::kMillisecond)->Iterations(3);
BENCHMARK(refusePart)->Arg(1)->Arg(100)->Unit(benchmark::kMillisecond);
BENCHMARK(diffPart)->Unit(benchmark::kMillisecond);

} // namespace
