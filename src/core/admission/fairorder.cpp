/// The order in which the rows of a cell are served: start-time fair queueing by weight.
#include "core/admission/fairorder.h"

#include "core/homes/cell.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns how far `time` of one slot moves the row in virtual time.
auto virtualCost(const RowQueue &row, Duration time) -> double
{
    return std::chrono::duration<double>(time).count() / row.weight;
}

auto finishTag(const RowQueue &row) -> double
{
    return row.startTag + virtualCost(row, row.serviceTime.cost());
}

/// Returns whether `a` is to be served before `b`, both being eligible.
auto goesBefore(const RowQueue &a, const RowQueue &b) -> bool
{
    if (a.urgency != b.urgency) {
        return a.urgency > b.urgency;
    }
    if (a.startTag != b.startTag) {
        return a.startTag < b.startTag;
    }
    return finishTag(a) < finishTag(b);
}

} // namespace

auto nextRow(Cell &cell, const std::vector<RowQueue *> &ready) -> RowQueue *
{
    auto earliestStart = ready.front()->startTag;
    auto earliestFinish = finishTag(*ready.front());
    for (const auto *row : ready) {
        earliestStart = std::min(earliestStart, row->startTag);
        earliestFinish = std::min(earliestFinish, finishTag(*row));
    }
    cell.virtualTime = std::max(cell.virtualTime, earliestStart);
    RowQueue *best = nullptr;
    for (auto *row : ready) {
        const auto eligible = row->startTag < earliestFinish || row->startTag == earliestStart;
        if (eligible && (best == nullptr || goesBefore(*row, *best))) {
            best = row;
        }
    }
    return best;
}

auto chargeRow(RowQueue &row) -> Duration
{
    const auto time = row.serviceTime.cost();
    row.startTag += virtualCost(row, time);
    return time;
}

auto correctCharge(RowQueue &row, Duration charged, Duration used) -> void
{
    row.startTag += virtualCost(row, used - charged);
}

} // namespace flamingograde
