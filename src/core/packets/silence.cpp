/// Evidence that upstreams have become silent or answer again.
#include "core/packets/silence.h"

#include "core/blackboard.h"
#include "core/directory/directorylog.h"
#include "core/milliseconds.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

namespace {

/// Marks an upstream as silent and schedules its first trial.
auto markSilent(Blackboard &board, UpstreamEntry &entry) -> void
{
    auto &evidence = entry.evidence;
    evidence.silentSince = board.now.mono;
    evidence.trialPause = config::trialPause;
    evidence.nextTrial = board.now.mono + evidence.trialPause;
    ++board.stats.upstreamsSilenced;
    board.directory.invalidatePools();
    board.pendingLogs.push_back(
            { LogEvent::UpstreamSilent,
              describeUpstream(entry) + " unanswered=" + std::to_string(evidence.unanswered)
                      + " heard_ms_ago=" + heardAgoText(board.now.mono, evidence) });
}

/// Counts and logs that a silent upstream was heard again.
auto reportHeardAgain(Blackboard &board, UpstreamEntry &entry) -> void
{
    ++board.stats.upstreamsHeardAgain;
    board.directory.invalidatePools();
    board.pendingLogs.push_back({ LogEvent::UpstreamHeard, describeUpstream(entry) });
}

/// Returns whether something sent at `sent` is evidence about the upstream as it is listed now: an
/// upstream that has registered again since is alive, even if earlier requests were lost.
auto concernsListing(const UpstreamEntry &entry, MonoTime sent) -> bool
{
    return entry.presence != Presence::Listed || sent >= entry.since;
}

/// Converts `sentAt`, a time of `FlowTable::clock`, to a time of the monotonic clock.
auto monoTimeOf(const Blackboard &board, std::uint32_t sentAt) -> MonoTime
{
    const auto sentFor = FlowTable::clock(board.now.mono) - sentAt;
    return board.now.mono - std::chrono::milliseconds(sentFor);
}

} // namespace

auto heardAgoText(MonoTime now, const UpstreamEvidence &evidence) -> std::string
{
    if (evidence.lastHeardAt == MonoTime()) {
        return "never";
    }
    return std::to_string(milliseconds(now - evidence.lastHeardAt));
}

auto recordHeard(Blackboard &board, std::uint32_t upstream) -> void
{
    auto &entry = board.directory.at(upstream);
    const auto wasSilent = entry.evidence.isSilent();
    entry.evidence.lastHeardAt = board.now.mono;
    entry.evidence.clearSilence();
    board.packets.lastHeard = board.now.mono;
    if (wasSilent) {
        reportHeardAgain(board, entry);
    }
}

auto recordAnswered(Blackboard &board, std::uint32_t sentAt) -> void
{
    const auto sent = monoTimeOf(board, sentAt);
    if (board.now.mono - sent >= config::resendTime) {
        return; // The caller may have resent the packet through another host.
    }
    auto &packets = board.packets;
    if (sent - packets.lastAnsweredSentAt >= config::answerGap) {
        packets.answeredSince = sent;
    }
    packets.lastAnsweredSentAt = std::max(packets.lastAnsweredSentAt, sent);
}

auto recordLostRequest(Blackboard &board, UpstreamEntry &entry, std::uint32_t sentAt) -> void
{
    const auto sent = monoTimeOf(board, sentAt);
    const auto &packets = board.packets;
    const auto reachesOthers = packets.answeredSince <= sent
                               && packets.lastAnsweredSentAt >= sent + config::resendTime;
    if (reachesOthers && concernsListing(entry, sent)) {
        entry.evidence.lostRequests.add(board.now.mono);
    }
}

auto recordUnanswered(Blackboard &board, std::uint32_t upstream, std::uint32_t sentAt) -> void
{
    auto &entry = board.directory.at(upstream);
    ++board.stats.openingsUnanswered;
    if (!concernsListing(entry, monoTimeOf(board, sentAt))) {
        return;
    }
    ++entry.evidence.unanswered;
    const auto heardDelay = FlowTable::clock(board.packets.lastHeard) - sentAt;
    const auto othersHeardSince = static_cast<std::int32_t>(heardDelay) > 0;
    if (!entry.evidence.isSilent() && entry.evidence.unanswered >= config::silentOpenings
        && othersHeardSince) {
        markSilent(board, entry);
    }
}

auto isPresumedDead(const Blackboard &board, const UpstreamEntry &entry) -> bool
{
    const auto &evidence = entry.evidence;
    const auto oldestAt = evidence.lostRequests.oldestAt();
    if (!oldestAt) {
        return false;
    }
    const auto age = board.now.mono - *oldestAt;
    const auto isUsable = age >= config::lostRequestsSettled && age < config::lostRequestsFresh;
    return evidence.isSilent() && isUsable && entry.isNear
           && board.now.mono >= board.packets.evidenceValidFrom;
}

auto startDueTrial(Blackboard &board, const ServicePool &pool) -> std::optional<std::uint32_t>
{
    for (const auto index : pool.silent) {
        auto &entry = board.directory.at(index);
        auto &evidence = entry.evidence;
        if (!entry.isNear || board.now.mono < evidence.nextTrial) {
            continue;
        }
        evidence.trialPause = std::min<Duration>(evidence.trialPause * 2, config::trialPauseMax);
        evidence.nextTrial = board.now.mono + evidence.trialPause;
        return index;
    }
    return std::nullopt;
}

} // namespace flamingograde
