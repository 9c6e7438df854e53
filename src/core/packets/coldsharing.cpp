/// Request rates at which this host may use cold upstreams.
#include "core/packets/coldsharing.h"

#include "core/blackboard.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

namespace {

/// Hosts that may consider themselves owner of an upstream at once, because membership views
/// differ.
constexpr double concurrentOwnersMax = 2;
/// Requests that an owner may send above its rate within one second: the size of a full bucket.
constexpr double ownerBurst = 1;

/// Returns whether this host started too recently to know the other hosts of its zone.
auto hasJustStarted(const Blackboard &board) -> bool
{
    return board.now.mono - board.membership.startedAt < config::directoryStartGrace;
}

/// Returns the rate of an owner: the cold limit, reduced if two owners together would exceed the
/// bound on the requests that all hosts send in a second, but at least half of the limit.
auto ownerRate(const Init &init, const ColdLimit &limit) -> double
{
    const auto limitRate = limit.requestsPerSecond;
    const auto bound = limitRate * init.coldExcess + init.coldSlack;
    return std::clamp(bound / concurrentOwnersMax - ownerBurst, limitRate / concurrentOwnersMax,
                      limitRate);
}

} // namespace

auto SingleOwnerSharing::rateOf(const Blackboard &board, const UpstreamEntry &entry,
                                const ColdLimit &limit) const -> double
{
    const auto &upstream = entry.record.upstream;
    const auto &membership = board.membership;
    const auto isOwner =
            entry.isNear && !hasJustStarted(board)
            && membership.winnerOf(upstream.instance.value(), upstream.zone) == membership.self;
    return isOwner ? ownerRate(board.init, limit) : 0;
}

auto EqualSplitSharing::rateOf(const Blackboard &board, const UpstreamEntry &entry,
                               const ColdLimit &limit) const -> double
{
    const auto hosts = board.membership.candidates(entry.record.upstream.zone).size();
    if (!entry.isNear || hasJustStarted(board) || hosts == 0) {
        return 0;
    }
    return limit.requestsPerSecond / static_cast<double>(hosts);
}

auto coldSharingOf(ColdPolicy policy) -> ColdSharing
{
    if (policy == ColdPolicy::Split) {
        return EqualSplitSharing();
    }
    return SingleOwnerSharing();
}

auto updateColdLimits(Blackboard &board) -> void
{
    auto &directory = board.directory;
    directory.liftExpiredColdLimits(board.now.mono);
    if (directory.coldLimitedCount() == 0) {
        return;
    }
    const auto sharing = coldSharingOf(board.init.coldPolicy);
    for (std::uint32_t i = 0; i < directory.entries().size(); ++i) {
        auto &entry = directory.at(i);
        if (!entry.isColdLimited) {
            continue;
        }
        const auto &limit = *directory.coldLimitOf(entry.record.upstream.service);
        const auto rate =
                std::visit([&](const auto &it) { return it.rateOf(board, entry, limit); }, sharing);
        const auto hadRate = entry.allowance.hasRate();
        entry.allowance.refill(rate, board.now.mono);
        if (hadRate != entry.allowance.hasRate()) {
            directory.invalidatePools();
        }
    }
}

} // namespace flamingograde
