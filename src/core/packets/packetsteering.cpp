/// Steers by cookie, places new flows, resets what cannot be served.
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

/// Resets a flow; a packet that is a reset itself is dropped.
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

/// Returns whether the flags do not go together.
auto isMalformed(const PacketHead &head) -> bool
{
    const auto &flags = head.flags;
    const auto opensAndMore =
            flags.opens && (flags.finishes || flags.resets || head.dataBytes != 0);
    return flags.returned || opensAndMore;
}

/// Returns the entry for a flow in the table, claimed for it if it has none.
auto entryFor(Blackboard &board, FlowEntry *known, const FlowKey &key) -> FlowEntry &
{
    return known != nullptr ? *known : board.packets.flows.claim(key);
}

/// Takes a copy of an opening packet for evidence: its caller says that nothing came within its
/// resend time, unless both packets waited here.
auto noteCopy(Blackboard &board, const FlowEntry &flow) -> void
{
    const auto sentFor = FlowTable::clock(board.now.mono) - flow.sentAt;
    const auto isTrusted = board.now.mono >= board.packets.trustedFrom;
    if (isTrusted && sentFor >= config::handshakePatience.count()) {
        noteUnanswered(board, flow.upstream, flow.sentAt);
    }
}

/// Returns whether a copy of a flow's opening may go to the upstream of the first one, which may
/// have begun to drain or had its zone evacuated in the meantime.
auto mayTakeCopy(const Blackboard &board, const FlowEntry &flow) -> bool
{
    const auto &entry = board.directory.at(flow.upstream);
    return entry.cookie == flow.cookie && board.directory.acceptsOpening(entry);
}

auto place(Blackboard &board, const RowEntry &row, const PacketHead &head) -> PacketDecision
{
    const auto key = FlowKey::of(head);
    auto *known = board.packets.flows.find(key);
    const auto isCopy = known != nullptr && head.copy > 0;
    if (isCopy && known->stage != FlowStage::Opening) {
        return drop(PacketReason::AlreadyOpen);
    }
    NewFlow flow { key.hash(), std::nullopt };
    if (isCopy) {
        noteCopy(board, *known);
        flow.avoid = known->upstream;
    }
    auto chosen = placeFlow(board, row, flow);
    if (!chosen && isCopy && mayTakeCopy(board, *known)) {
        chosen = known->upstream;
    }
    if (!chosen) {
        return reset(head, PacketReason::NoUpstream);
    }
    watchOpening(board, entryFor(board, known, key), head, *chosen);
    auto &entry = board.directory.at(*chosen);
    auto decision = forward(entry, head,
                            head.copy > 0 ? PacketReason::PlacedElsewhere : PacketReason::Placed);
    if (head.copy == 0) {
        const auto &pool = board.directory.poolOf(entry.record.upstream.service);
        const auto trial = takeTrial(board, pool);
        if (trial && *trial != *chosen) {
            decision.reason = PacketReason::PlacedOnTrial;
            addTarget(board.directory.at(*trial), head, decision);
        }
    }
    return decision;
}

auto follow(Blackboard &board, const RowEntry &row, const PacketHead &head) -> PacketDecision
{
    const auto [entry, isOfRow] = ownerOf(board, row, head.service, head.cookie);
    if (entry == nullptr) {
        return drop(PacketReason::CookieUnknown);
    }
    if (!isOfRow) {
        return drop(PacketReason::CookieOfAnother);
    }
    if (entry->presence == Presence::Removed) {
        return reset(head, PacketReason::UpstreamGone);
    }
    const auto sign = watchPacket(board, head, board.directory.indexOf(*entry));
    // A caller that may repeat its request does so at once on a new flow; one that may not would
    // win nothing, as its flow was open. Gains requests in the seconds in which an upstream that
    // died without a word is still listed.
    if (sign != RequestSign::None && row.row->idempotent && isLost(board, *entry)) {
        return reset(head, PacketReason::UpstreamSilent);
    }
    const auto isOverdue = sign == RequestSign::Overdue;
    return forward(*entry, head, isOverdue ? PacketReason::SteeredOverdue : PacketReason::Steered);
}

auto decide(Blackboard &board, const PacketHead &head) -> PacketDecision
{
    if (isMalformed(head)) {
        return drop(PacketReason::Malformed);
    }
    const auto *row = board.directory.rowAt(head.service);
    if (row == nullptr) {
        // Until it has rows for the first time, this host cannot tell whether the row is gone.
        const auto hasRows = board.directory.rows() != nullptr;
        return hasRows ? reset(head, PacketReason::NoRow) : drop(PacketReason::NoRow);
    }
    return head.flags.opens ? place(board, *row, head) : follow(board, *row, head);
}

} // namespace

auto steerPacket(Blackboard &board, const PacketHead &head) -> PacketDecision
{
    if (board.packets.lastPacket == MonoTime()) {
        distrustOpenings(board);
    }
    board.packets.lastPacket = board.now.mono;
    const auto decision = decide(board, head);
    ++board.stats.packets[static_cast<std::size_t>(decision.reason)];
    return decision;
}

} // namespace flamingograde
