/// Collects request results and counts invariant violations.
#include "emulator/judge.h"

#include <algorithm>

namespace flamingograde::emulator {

namespace {

auto add(Tally &tally, const RequestResult &result, double worth) -> void
{
    ++tally.asked;
    tally.possibleWorth += result.kind->worth;
    tally.worth += worth;
    switch (result.end) {
    case RequestEnd::Answered:
        ++(result.took <= result.kind->target ? tally.inTime : tally.late);
        return;
    case RequestEnd::Refused:
        ++tally.refused;
        return;
    case RequestEnd::Failed:
        ++tally.failed;
        return;
    }
}

auto worthOf(const RequestResult &result) -> double
{
    if (result.end != RequestEnd::Answered) {
        return 0;
    }
    return result.took <= result.kind->target ? result.kind->worth : result.kind->lateWorth;
}

} // namespace

auto DayResult::percentile(double part) const -> double
{
    if (this->tookMs.empty()) {
        return 0;
    }
    auto sorted = this->tookMs;
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto index = static_cast<std::size_t>(last * part);
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index),
                     sorted.end());
    return sorted[index];
}

auto Judge::take(const std::string &zone, const RequestResult &result) -> void
{
    const auto worth = worthOf(result);
    const auto index = static_cast<std::size_t>((result.began - this->started) / window);
    if (this->day.windows.size() <= index) {
        this->day.windows.resize(index + 1);
    }
    add(this->day.all, result, worth);
    add(this->day.byKind[result.kind->name], result, worth);
    add(this->day.byZone[zone], result, worth);
    add(this->day.windows[index], result, worth);
    if (result.end == RequestEnd::Answered) {
        const std::chrono::duration<double, std::milli> took = result.took;
        this->day.tookMs.push_back(took.count());
    }
}

auto Judge::noteRun(std::uint64_t request, bool isIdempotent) -> void
{
    const auto times = ++this->runs[request];
    this->day.doubleRuns += times > 1 && !isIdempotent ? 1 : 0;
}

} // namespace flamingograde::emulator
