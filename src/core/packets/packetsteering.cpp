/// Steers packets by cookie, places new flows, and resets flows that cannot be served.
#include "core/packets/packetsteering.h"

#include "core/blackboard.h"
#include "core/packets/flowowner.h"
#include "core/packets/flowplacement.h"
#include "core/packets/flowwatch.h"
#include "core/packets/silence.h"

#include <flamingograde/config.h>

namespace flamingograde {

namespace {

auto drop(PacketReason reason) -> PacketDecision
{
    PacketDecision decision;
    decision.reason = reason;
    return decision;
}

/// Answers a packet by a reset; a packet that is itself a reset is dropped.
auto reset(const PacketHead &head, PacketReason reason) -> PacketDecision
{
    auto decision = drop(reason);
    decision.verdict = head.flags.resets ? PacketVerdict::Drop : PacketVerdict::Reset;
    return decision;
}

auto addTarget(const UpstreamEntry &entry, const PacketHead &head, PacketDecision &decision) -> void
{
    const auto &upstream = entry.record.upstream;
    decision.targets[decision.targetCount++] = { upstream.instance, upstream.address,
                                                 entry.cookie.bound(head.service) };
}

auto forward(const UpstreamEntry &entry, const PacketHead &head, PacketReason reason)
        -> PacketDecision
{
    PacketDecision decision;
    decision.verdict = PacketVerdict::Forward;
    decision.reason = reason;
    addTarget(entry, head, decision);
    return decision;
}

/// Returns whether the packet's flags contradict each other or its data.
auto isMalformed(const PacketHead &head) -> bool
{
    const auto &flags = head.flags;
    const auto opensWithExtras =
            flags.opens && (flags.finishes || flags.resets || head.dataBytes != 0);
    return flags.returned || opensWithExtras;
}

/// Returns the flow's entry in the table; claims one if `known` is null.
auto entryFor(Blackboard &board, FlowEntry *known, const FlowKey &key) -> FlowEntry &
{
    return known != nullptr ? *known : board.packets.flows.claim(key);
}

/// Records a copy of an opening packet as evidence that the upstream did not answer within the
/// caller's resend time. Copies that may have waited in this host's buffer do not count.
auto recordUnansweredCopy(Blackboard &board, const FlowEntry &flow) -> void
{
    const auto sentFor = FlowTable::clock(board.now.mono) - flow.sentAt;
    const auto isEvidenceValid = board.now.mono >= board.packets.evidenceValidFrom;
    if (isEvidenceValid && sentFor >= config::handshakeTimeout.count()) {
        recordUnanswered(board, flow.upstream, flow.sentAt);
    }
}

/// Returns whether a copy of a flow's opening packet may go to the upstream of the previous one,
/// which may have begun to drain or whose zone may have been evacuated in the meantime.
auto mayTakeCopy(const Blackboard &board, const FlowEntry &flow) -> bool
{
    const auto &entry = board.directory.at(flow.upstream);
    return entry.cookie == flow.cookie && board.directory.acceptsOpening(entry);
}

/// Returns whether the flow of an opening packet may be open through another host, which got a copy
/// of the packet: its caller resends it after 200 ms.
auto mayBeOpen(const PacketHead &head) -> bool
{
    return head.retransmissions > 0 || head.waited >= config::resendTime;
}

auto placeNewFlow(Blackboard &board, const RowEntry &row, const PacketHead &head) -> PacketDecision
{
    const auto key = FlowKey::of(head);
    auto *known = board.packets.flows.find(key);
    const auto isCopy = known != nullptr && head.retransmissions > 0;
    if (isCopy && known->stage != FlowStage::Opening) {
        return drop(PacketReason::AlreadyOpen);
    }
    NewFlow flow { key.hash(), std::nullopt, mayBeOpen(head), head.caller.ip, Duration(0) };
    if (isCopy) {
        recordUnansweredCopy(board, *known);
        flow.avoid = known->upstream;
    }
    const auto placement = placeFlow(board, row, flow);
    auto chosen = placement.upstream;
    if (!chosen && isCopy && mayTakeCopy(board, *known)) {
        chosen = known->upstream;
    }
    if (!chosen && placement.isOverloaded) {
        return reset(head, PacketReason::Overloaded);
    }
    if (!chosen) {
        // Upstreams that an outdated directory lacks may be known when the caller sends a copy.
        return board.freshness.isCurrent(board.now.mono) ? reset(head, PacketReason::NoUpstream)
                                                         : drop(PacketReason::NoUpstream);
    }
    trackOpening(board, entryFor(board, known, key), head, *chosen);
    auto &entry = board.directory.at(*chosen);
    auto decision = forward(entry, head,
                            head.retransmissions > 0 ? PacketReason::PlacedElsewhere
                                                     : PacketReason::Placed);
    if (head.retransmissions == 0) {
        const auto &pool = board.directory.poolOf(entry.record.upstream.service);
        const auto trial = startDueTrial(board, pool);
        if (trial && *trial != *chosen) {
            decision.reason = PacketReason::PlacedOnTrial;
            addTarget(board.directory.at(*trial), head, decision);
        }
    }
    return decision;
}

/// Returns whether an upstream was removed and cannot have registered again unnoticed: one that
/// lost its lease behind a network cut may live.
auto isKnownToBeGone(const Blackboard &board, const UpstreamEntry &entry) -> bool
{
    return entry.presence == Presence::Removed
           && board.freshness.areRemovalsCertain(board.now.mono, board.directory.reappearTime());
}

auto steerOpenFlow(Blackboard &board, const RowEntry &row, const PacketHead &head) -> PacketDecision
{
    const auto [entry, belongsToRow] = ownerOf(board, row, head.service, head.cookie);
    if (entry == nullptr) {
        return drop(PacketReason::CookieUnknown);
    }
    if (!belongsToRow) {
        return drop(PacketReason::CookieOfAnother);
    }
    if (isKnownToBeGone(board, *entry)) {
        return reset(head, PacketReason::UpstreamGone);
    }
    const auto evidence = trackPacket(board, head, board.directory.indexOf(*entry));
    // After a reset, a caller whose request is idempotent repeats it at once on a new flow. A
    // caller that must not repeat its request gains nothing from a reset, as the request may have
    // reached the upstream. The reset saves requests in the seconds in which an upstream that
    // crashed is still listed.
    if (evidence != RequestEvidence::None && row.row->idempotent && isPresumedDead(board, *entry)) {
        return reset(head, PacketReason::UpstreamSilent);
    }
    const auto isOverdue = evidence == RequestEvidence::Overdue;
    return forward(*entry, head, isOverdue ? PacketReason::SteeredOverdue : PacketReason::Steered);
}

/// Returns whether a packet's row, which this host does not have, exists no more.
///
/// A row that other hosts got to know earlier may have open flows, so a flow is known to be on a
/// removed row only if this host carried it. A new flow can be opened again if the row is new.
auto isRowKnownToBeGone(const Blackboard &board, const PacketHead &head) -> bool
{
    if (board.directory.rows() == nullptr) {
        return false;
    }
    return head.flags.opens ? board.freshness.isCurrent(board.now.mono)
                            : board.packets.flows.find(FlowKey::of(head)) != nullptr;
}

auto decide(Blackboard &board, const PacketHead &head) -> PacketDecision
{
    if (isMalformed(head)) {
        return drop(PacketReason::Malformed);
    }
    const auto *row = board.directory.rowAt(head.service);
    if (row == nullptr) {
        return isRowKnownToBeGone(board, head) ? reset(head, PacketReason::NoRow)
                                               : drop(PacketReason::NoRow);
    }
    return head.flags.opens ? placeNewFlow(board, *row, head) : steerOpenFlow(board, *row, head);
}

} // namespace

auto steerPacket(Blackboard &board, const PacketHead &head) -> PacketDecision
{
    if (board.packets.lastPacket == MonoTime()) {
        suspendEvidence(board);
    }
    board.packets.lastPacket = board.now.mono;
    const auto decision = decide(board, head);
    ++board.stats.packets[static_cast<std::size_t>(decision.reason)];
    return decision;
}

} // namespace flamingograde
