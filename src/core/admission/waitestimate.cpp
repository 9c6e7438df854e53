/// Work ahead of a request in the weighted fair order, and when a slot becomes free after it.
#include "core/admission/waitestimate.h"

#include "core/homes/cell.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace flamingograde {

namespace {

auto secondsOf(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

auto durationOf(double seconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Requests that are served before a given one: their number and their total slot time.
struct WorkAhead
{
    double count = 0;
    double seconds = 0;
};

/// Returns the work that the weighted fair order serves before a request of `row` that has `ahead`
/// requests of the same row queued before it.
auto workAhead(const Cell &cell, const RowQueue &row, std::size_t ahead) -> WorkAhead
{
    const auto ownCost = secondsOf(row.serviceTime.mean());
    const auto own = static_cast<double>(ahead);
    const auto until = own * ownCost / row.weight;
    WorkAhead work { own, own * ownCost };
    for (const auto &[id, other] : cell.rows) {
        if (id == row.row || other.waiting.empty()) {
            continue;
        }
        const auto cost = std::max(secondsOf(other.serviceTime.mean()), 1e-6);
        const auto turns = std::floor(until * other.weight / cost + 1.0);
        const auto served = std::min(static_cast<double>(other.waiting.size()), turns);
        work.count += served;
        work.seconds += served * cost;
    }
    return work;
}

/// Returns the expected remaining times of the running requests in seconds, shortest first.
auto remainingTimes(const Cell &cell, MonoTime now) -> std::vector<double>
{
    std::vector<double> left;
    for (const auto &[id, request] : cell.running) {
        const auto &row = cell.rows.at(request.row);
        const auto elapsed = secondsOf(now - request.since);
        left.push_back(std::max(secondsOf(row.serviceTime.mean()) - elapsed, 0.0));
    }
    std::sort(left.begin(), left.end());
    return left;
}

/// Returns in how many seconds one of `slots` is free for the request that follows `work`.
/// @param left the remaining times of the running requests, in ascending order.
auto expectedStart(const WorkAhead &work, std::vector<double> left, std::uint32_t slots) -> double
{
    if (left.size() < slots) {
        left.insert(left.begin(), slots - left.size(), 0.0);
    }
    // More requests than `slots` may be running, because slots were withdrawn in the meantime.
    const auto over = left.size() - slots;
    const auto count = static_cast<std::size_t>(work.count);
    const auto mean = work.count > 0 ? work.seconds / work.count : 0.0;
    const auto round = count / slots;
    return left[over + count % slots] + static_cast<double>(round) * mean;
}

} // namespace

auto expectedWait(const Cell &cell, const RowQueue &row, std::size_t ahead,
                  const std::vector<SlotOffer> &offers, MonoTime now) -> Duration
{
    const auto slots = std::max<std::uint32_t>(offeredSlots(offers), 1);
    auto wait = expectedStart(workAhead(cell, row, ahead), remainingTimes(cell, now), slots);
    if (row.concurrent != 0) {
        const auto before = static_cast<double>(ahead + row.running);
        const auto rounds = std::floor(before / row.concurrent);
        wait = std::max(wait, (rounds - 0.5) * secondsOf(row.serviceTime.mean()));
    }
    return durationOf(std::max(wait, 0.0));
}

auto expectedTimeToRoom(const Cell &cell, const RowQueue &row, const std::vector<SlotOffer> &offers,
                        MonoTime now) -> Duration
{
    const auto refusedAhead = std::size_t { row.refusedUnserved };
    return expectedWait(cell, row, refusedAhead, offers, now);
}

} // namespace flamingograde
