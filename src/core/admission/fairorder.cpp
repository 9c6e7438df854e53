/// Start and finish tags of rows, and the choice of the next row.
#include "core/admission/fairorder.h"

#include "core/homes/cell.h"

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns by how much virtual time `time` of one slot advances the row's start tag.
auto virtualCost(const RowQueue &row, Duration time) -> double
{
    return std::chrono::duration<double>(time).count() / row.weight;
}

/// Returns the virtual time at which the next request of the row is expected to end.
auto finishTag(const RowQueue &row) -> double
{
    return row.startTag + virtualCost(row, row.serviceTime.mean());
}

/// Returns whether `a` is served before `b`. Precondition: both rows are eligible.
auto isServedBefore(const RowQueue &a, const RowQueue &b) -> bool
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
        if (eligible && (best == nullptr || isServedBefore(*row, *best))) {
            best = row;
        }
    }
    return best;
}

auto chargeRow(RowQueue &row) -> Duration
{
    const auto time = row.serviceTime.mean();
    row.startTag += virtualCost(row, time);
    return time;
}

auto correctCharge(RowQueue &row, Duration charged, Duration used) -> void
{
    row.startTag += virtualCost(row, used - charged);
}

} // namespace flamingograde
