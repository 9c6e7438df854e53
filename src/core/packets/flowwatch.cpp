/// Transitions of tracked flows, and what they reveal about upstreams.
#include "core/packets/flowwatch.h"

#include "core/blackboard.h"
#include "core/flowadmission/admitflow.h"
#include "core/packets/silence.h"

#include <flamingograde/config.h>

#include <utility>

namespace flamingograde {

namespace {

/// Reciprocal of a new sample's weight in a moving average, which thus spans about the last ten
/// samples.
constexpr auto meanDivisor = 10;
/// Each tick checks this fraction of the flow table for expired requests: all of it in 64 ticks,
/// 3.2 s.
constexpr std::size_t ticksPerSweep = 64;

auto hasPendingRequest(FlowStage stage) -> bool
{
    return stage != FlowStage::Free && stage != FlowStage::Idle;
}

/// Returns the directory entry of a flow's upstream, or null if the index was reused for another
/// upstream or the upstream has restarted since.
auto upstreamOf(Blackboard &board, const FlowEntry &flow) -> UpstreamEntry *
{
    auto &entry = board.directory.at(flow.upstream);
    return entry.cookie == flow.cookie && entry.restarts == flow.restarts ? &entry : nullptr;
}

/// Counts a flow's opening or request as work of its upstream, or no longer.
auto setUnderWay(Blackboard &board, FlowEntry &flow, bool isUnderWay) -> void
{
    if (std::exchange(flow.isUnderWay, isUnderWay) == isUnderWay) {
        return;
    }
    auto *entry = upstreamOf(board, flow);
    if (entry == nullptr) {
        return;
    }
    if (isUnderWay) {
        board.directory.requests().beginWork(*entry);
    } else {
        board.directory.requests().endWork(*entry);
    }
}

/// Moves a flow to another stage, and updates the counts of pending requests and of used entries.
auto setStage(Blackboard &board, FlowEntry &flow, FlowStage stage) -> void
{
    auto *entry = upstreamOf(board, flow);
    if (entry != nullptr && hasPendingRequest(flow.stage) != hasPendingRequest(stage)) {
        if (hasPendingRequest(stage)) {
            board.directory.requests().beginRequest(*entry);
        } else {
            board.directory.requests().endRequest(*entry);
        }
    }
    setUnderWay(board, flow, hasPendingRequest(stage));
    auto &used = board.packets.flows.used;
    used += (stage != FlowStage::Free ? 1 : 0) - (flow.stage != FlowStage::Free ? 1 : 0);
    flow.stage = stage;
}

/// Adds a sample to a moving average.
auto addToMean(Duration &mean, std::uint32_t milliseconds) -> void
{
    const Duration sample = std::chrono::milliseconds(milliseconds);
    mean = mean == Duration(0) ? sample : mean + (sample - mean) / meanDivisor;
}

/// Assigns an entry to the flow of a packet, and stops tracking the flow that it held before.
auto assign(Blackboard &board, FlowEntry &flow, const PacketHead &head, std::uint32_t upstream)
        -> void
{
    stopTracking(board, flow);
    flow.key = FlowKey::of(head);
    flow.upstream = upstream;
    flow.cookie = board.directory.at(upstream).cookie;
    flow.restarts = board.directory.at(upstream).restarts;
    flow.acknowledged = head.acknowledged;
    flow.sequence = head.sequence;
    flow.awaitsFirstRequest = false;
}

/// Returns whether the flow's last packet arrived here so long ago that later ones may have passed
/// through another host: an acknowledgement may then refer to data that was sent just as long ago.
auto isStale(const Blackboard &board, const FlowEntry &flow) -> bool
{
    return FlowTable::clock(board.now.mono) - flow.lastPacketAt
           >= config::acknowledgementFresh.count();
}

/// Handles the first packet after the opening one, which shows that the upstream answered.
auto handleFirstAnswer(Blackboard &board, FlowEntry &flow, const PacketHead &head,
                       std::uint32_t upstream) -> void
{
    const auto elapsed = FlowTable::clock(board.now.mono) - flow.sentAt;
    if (flow.upstream != upstream) {
        assign(board, flow, head, upstream); // Another copy of the opening was answered first.
    }
    if (!isStale(board, flow)) {
        addToMean(board.directory.at(upstream).evidence.handshake, elapsed);
        noteHandshake(board, board.directory.at(upstream), elapsed);
        board.stats.handshakes.add(elapsed);
        recordHeard(board, upstream);
        recordAnswered(board, flow.sentAt);
    }
    flow.acknowledged = head.acknowledged;
    flow.sequence = head.sequence;
    setStage(board, flow, FlowStage::Idle);
}

/// Handles a newer acknowledgement, which shows that data of the upstream reached the caller.
auto handleAcknowledgement(Blackboard &board, FlowEntry &flow, const PacketHead &head) -> void
{
    const auto advance = static_cast<std::int32_t>(head.acknowledged - flow.acknowledged);
    if (!head.flags.acknowledges || advance <= 0) {
        return;
    }
    flow.acknowledged = head.acknowledged;
    if (upstreamOf(board, flow) == nullptr) {
        return;
    }
    if (isStale(board, flow)) {
        setStage(board, flow, FlowStage::Idle);
        return;
    }
    recordHeard(board, flow.upstream);
    if (flow.stage != FlowStage::Idle) {
        const auto elapsed = FlowTable::clock(board.now.mono) - flow.sentAt;
        auto &entry = board.directory.at(flow.upstream);
        addToMean(entry.evidence.response, elapsed);
        entry.evidence.respondedAt = board.now.mono;
        noteResponse(board, entry, elapsed, flow.loadAtStart);
        recordAnswered(board, flow.sentAt);
        board.stats.responses.add(elapsed);
        setStage(board, flow, FlowStage::Idle);
    }
}

/// Counts a request that has just been forwarded as work until it is found abandoned.
auto watchForAnswer(Blackboard &board, FlowEntry &flow) -> void
{
    const auto isChecked =
            board.packets.requests.push({ board.packets.flows.indexOf(flow), flow.upstream,
                                          flow.sentAt, FlowTable::clock(board.now.mono) });
    setUnderWay(board, flow, isChecked);
}

/// Handles a retransmitted request: the caller got no acknowledgement within its resend time.
/// @returns whether this is the first retransmission of the request.
auto handleResend(Blackboard &board, FlowEntry &flow) -> bool
{
    const auto sentFor = FlowTable::clock(board.now.mono) - flow.sentAt;
    const auto isEvidenceValid = board.now.mono >= board.packets.evidenceValidFrom;
    auto *entry = upstreamOf(board, flow);
    if (!isEvidenceValid || entry == nullptr) {
        return false;
    }
    if (flow.stage == FlowStage::Waiting && sentFor >= config::resendTime.count()) {
        setStage(board, flow, FlowStage::Overdue);
        watchForAnswer(board, flow);
        recordUnanswered(board, flow.upstream, flow.sentAt);
        return true;
    }
    if (flow.stage == FlowStage::Overdue && sentFor >= config::resendAgainTime.count()) {
        setStage(board, flow, FlowStage::Lost);
        recordLostRequest(board, *entry, flow.sentAt);
    }
    return false;
}

/// Counts a request against the cold limit of its upstream, if one applies.
auto countAgainstColdLimit(Blackboard &board, const FlowEntry &flow) -> void
{
    auto *entry = upstreamOf(board, flow);
    if (entry != nullptr && entry->isColdLimited) {
        entry->allowance.consume();
    }
}

/// Handles the data of a packet.
auto handleData(Blackboard &board, FlowEntry &flow, const PacketHead &head) -> RequestEvidence
{
    const auto advance = static_cast<std::int32_t>(head.sequence - flow.sequence);
    const auto isNew = advance > 0 || flow.stage == FlowStage::Idle;
    if (head.dataBytes == 0) {
        return RequestEvidence::None;
    }
    if (!isNew) {
        return handleResend(board, flow) ? RequestEvidence::Overdue : RequestEvidence::Pending;
    }
    flow.sequence = head.sequence;
    if (flow.stage == FlowStage::Idle) {
        if (!std::exchange(flow.awaitsFirstRequest, false)) {
            countAgainstColdLimit(board, flow); // The first request was counted with the opening.
        }
        flow.sentAt = FlowTable::clock(board.now.mono);
        setStage(board, flow, FlowStage::Waiting);
        const auto &upstream = board.directory.at(flow.upstream).record.upstream;
        flow.loadAtStart = static_cast<float>(beginServiceRequest(board, upstream.service));
        watchForAnswer(board, flow);
    }
    return RequestEvidence::Pending;
}

/// Returns the flow of a packet, and starts to track it if need be. Returns null for a packet
/// without data of a flow that is not tracked.
auto findOrTrack(Blackboard &board, const PacketHead &head, std::uint32_t upstream) -> FlowEntry *
{
    auto &flows = board.packets.flows;
    const auto key = FlowKey::of(head);
    auto *flow = flows.find(key);
    if (flow != nullptr || head.dataBytes == 0) {
        return flow;
    }
    auto &claimed = flows.claim(key);
    assign(board, claimed, head, upstream);
    setStage(board, claimed, FlowStage::Idle);
    return &claimed;
}

/// Returns whether no second packet of a flow has arrived since its opening was forwarded.
auto isUnanswered(const FlowEntry &flow, const PendingCheck &opening) -> bool
{
    return flow.stage == FlowStage::Opening && flow.sentAt == opening.sentAt
           && flow.upstream == opening.upstream;
}

/// Stops counting requests as work whose callers neither got an answer nor sent them again: their
/// callers have given up, for example as an upstream that crashed reset them.
auto checkAbandonedRequests(Blackboard &board) -> void
{
    constexpr auto timeout = static_cast<std::uint32_t>(config::abandonedAfter.count());
    const auto now = FlowTable::clock(board.now.mono);
    while (const auto request = board.packets.requests.popDue(now, timeout)) {
        auto &flow = board.packets.flows.at(request->flow);
        const auto isSilent = now - flow.lastPacketAt >= timeout;
        const auto isOpen = flow.stage != FlowStage::Opening;
        if (isOpen && isSilent && flow.sentAt == request->sentAt) {
            setUnderWay(board, flow, false);
        }
    }
}

/// Records openings whose time is up as unanswered.
auto checkOpeningTimeouts(Blackboard &board) -> void
{
    constexpr auto timeout = static_cast<std::uint32_t>(config::handshakeTimeout.count());
    const auto now = FlowTable::clock(board.now.mono);
    while (const auto opening = board.packets.openings.popDue(now, timeout)) {
        auto &flow = board.packets.flows.at(opening->flow);
        if (isUnanswered(flow, *opening)) {
            recordUnanswered(board, opening->upstream, opening->sentAt);
            setUnderWay(board, flow, false);
        }
    }
}

/// Frees the entries of flows in the next part of the table whose requests have expired.
auto expireRequests(Blackboard &board) -> void
{
    constexpr auto expiry = static_cast<std::uint32_t>(config::requestExpiry.count());
    auto &packets = board.packets;
    const auto now = FlowTable::clock(board.now.mono);
    const auto count = packets.flows.capacity() / ticksPerSweep;
    for (std::size_t i = 0; i < count; ++i) {
        auto &flow = packets.flows.at(packets.nextToCheck);
        packets.nextToCheck = (packets.nextToCheck + 1) % packets.flows.capacity();
        if (hasPendingRequest(flow.stage) && now - flow.lastPacketAt >= expiry) {
            stopTracking(board, flow);
        }
    }
}

} // namespace

auto trackOpening(Blackboard &board, FlowEntry &flow, const PacketHead &head,
                  std::uint32_t upstream) -> void
{
    assign(board, flow, head, upstream);
    flow.awaitsFirstRequest = true;
    countAgainstColdLimit(board, flow);
    flow.sentAt = FlowTable::clock(board.now.mono);
    flow.lastPacketAt = flow.sentAt;
    setStage(board, flow, FlowStage::Opening);
    // An opening whose time-out is not noticed must not count as work: after a pause a host places
    // many openings whose callers have given up.
    const auto isEvidenceValid = board.now.mono >= board.packets.evidenceValidFrom;
    const auto isChecked = isEvidenceValid
                           && board.packets.openings.push({ board.packets.flows.indexOf(flow),
                                                            upstream, flow.sentAt, flow.sentAt });
    setUnderWay(board, flow, isChecked);
}

auto trackPacket(Blackboard &board, const PacketHead &head, std::uint32_t upstream)
        -> RequestEvidence
{
    auto *flow = findOrTrack(board, head, upstream);
    if (flow == nullptr) {
        return RequestEvidence::None;
    }
    if (head.flags.resets) {
        stopTracking(board, *flow);
        return RequestEvidence::None;
    }
    if (flow->stage == FlowStage::Opening) {
        handleFirstAnswer(board, *flow, head, upstream);
    } else {
        handleAcknowledgement(board, *flow, head);
    }
    const auto evidence = handleData(board, *flow, head);
    flow->lastPacketAt = FlowTable::clock(board.now.mono);
    if (head.flags.finishes) {
        stopTracking(board, *flow);
    }
    return evidence;
}

auto stopTracking(Blackboard &board, FlowEntry &flow) -> void
{
    if (flow.stage != FlowStage::Free) {
        setStage(board, flow, FlowStage::Free);
    }
}

auto checkFlowTimeouts(Blackboard &board) -> void
{
    checkOpeningTimeouts(board);
    checkAbandonedRequests(board);
    expireRequests(board);
}

auto suspendEvidence(Blackboard &board) -> void
{
    const auto now = FlowTable::clock(board.now.mono);
    while (const auto opening = board.packets.openings.popDue(now, 0)) {
        auto &flow = board.packets.flows.at(opening->flow);
        if (isUnanswered(flow, *opening)) {
            setUnderWay(board, flow, false);
        }
    }
    board.packets.evidenceValidFrom = board.now.mono + config::evidenceHoldOff;
}

} // namespace flamingograde
