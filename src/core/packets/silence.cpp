/// Evidence of silence and its end.
#include "core/packets/silence.h"

#include "core/blackboard.h"
#include "core/directory/directorylog.h"
#include "core/milliseconds.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

namespace {

auto silence(Blackboard &board, UpstreamEntry &entry) -> void
{
    auto &evidence = entry.evidence;
    evidence.silentSince = board.now.mono;
    evidence.trialPause = config::trialPause;
    evidence.nextTrial = board.now.mono + evidence.trialPause;
    ++board.stats.upstreamsSilenced;
    board.directory.touchPools();
    board.notes.push_back({ LogEvent::UpstreamSilent,
                            describeUpstream(entry)
                                    + " unanswered=" + std::to_string(evidence.unanswered)
                                    + " heard_ms_ago=" + heardAgo(board.now.mono, evidence) });
}

auto hear(Blackboard &board, UpstreamEntry &entry) -> void
{
    ++board.stats.upstreamsHeardAgain;
    board.directory.touchPools();
    board.notes.push_back({ LogEvent::UpstreamHeard, describeUpstream(entry) });
}

/// Returns whether what was sent at `sent` says something of the upstream as it is listed now: one
/// that registered again lives, whatever was lost before.
auto isOfListing(const UpstreamEntry &entry, MonoTime sent) -> bool
{
    return entry.presence != Presence::Listed || sent >= entry.since;
}

/// Returns when something was sent whose time is `sentAt` of `FlowTable::clock`.
auto timeOf(const Blackboard &board, std::uint32_t sentAt) -> MonoTime
{
    const auto sentFor = FlowTable::clock(board.now.mono) - sentAt;
    return board.now.mono - std::chrono::milliseconds(sentFor);
}

} // namespace

auto heardAgo(MonoTime now, const UpstreamEvidence &evidence) -> std::string
{
    if (evidence.heard == MonoTime()) {
        return "never";
    }
    return std::to_string(milliseconds(now - evidence.heard));
}

auto noteSign(Blackboard &board, std::uint32_t upstream) -> void
{
    auto &entry = board.directory.at(upstream);
    const auto wasSilent = entry.evidence.isSilent();
    entry.evidence.heard = board.now.mono;
    entry.evidence.forgetSilence();
    board.packets.lastSign = board.now.mono;
    if (wasSilent) {
        hear(board, entry);
    }
}

auto noteAnswered(Blackboard &board, std::uint32_t sentAt) -> void
{
    const auto sent = timeOf(board, sentAt);
    if (board.now.mono - sent >= config::resendTime) {
        return; // Its caller may have sent it again, through another host.
    }
    auto &packets = board.packets;
    if (sent - packets.lastAnswered >= config::answerGap) {
        packets.answeredSince = sent;
    }
    packets.lastAnswered = std::max(packets.lastAnswered, sent);
}

auto noteLost(Blackboard &board, UpstreamEntry &entry, std::uint32_t sentAt) -> void
{
    const auto sent = timeOf(board, sentAt);
    const auto &packets = board.packets;
    const auto reachesOthers =
            packets.answeredSince <= sent && packets.lastAnswered >= sent + config::resendTime;
    if (reachesOthers && isOfListing(entry, sent)) {
        entry.evidence.lost.add(board.now.mono);
    }
}

auto noteUnanswered(Blackboard &board, std::uint32_t upstream, std::uint32_t sentAt) -> void
{
    auto &entry = board.directory.at(upstream);
    ++board.stats.openingsUnanswered;
    if (!isOfListing(entry, timeOf(board, sentAt))) {
        return;
    }
    ++entry.evidence.unanswered;
    const auto signAge = FlowTable::clock(board.packets.lastSign) - sentAt;
    const auto othersAnswer = static_cast<std::int32_t>(signAge) > 0;
    if (!entry.evidence.isSilent() && entry.evidence.unanswered >= config::silentOpenings
        && othersAnswer) {
        silence(board, entry);
    }
}

auto isLost(const Blackboard &board, const UpstreamEntry &entry) -> bool
{
    const auto &evidence = entry.evidence;
    const auto provenAt = evidence.lost.provenAt();
    const auto isFresh = provenAt && board.now.mono - *provenAt < config::lostFresh;
    return evidence.isSilent() && isFresh && entry.isNear
           && board.now.mono >= board.packets.trustedFrom;
}

auto takeTrial(Blackboard &board, const ServicePool &pool) -> std::optional<std::uint32_t>
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
