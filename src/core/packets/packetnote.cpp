/// Log text for a packet.
#include "core/packets/packetnote.h"

#include "core/blackboard.h"
#include "core/flowadmission/admitflow.h"
#include "core/hexid.h"
#include "core/milliseconds.h"
#include "core/packets/flowowner.h"
#include "core/packets/silence.h"

namespace flamingograde {

namespace {

auto describeTarget(const Blackboard &board, const PacketTarget &target) -> std::string
{
    std::string text = " upstream=" + hexOf(target.instance) + "@" + target.address.toString();
    if (const auto *entry = board.directory.byCookie(Cookie::of(target.instance))) {
        text += " zone=" + entry->record.upstream.zoneName
                + " busy=" + std::to_string(entry->evidence.pending)
                + " slots=" + std::to_string(entry->record.upstream.slots)
                + " heard_ms_ago=" + heardAgoText(board.now.mono, entry->evidence);
    }
    return text;
}

/// Returns the milliseconds since a time, or "never".
auto ageText(const Blackboard &board, std::optional<MonoTime> since) -> std::string
{
    return since ? std::to_string(milliseconds(board.now.mono - *since)) : "never";
}

/// Describes the upstream of a flow that is reset, with the age of the evidence that it is silent.
auto describeSilentUpstream(const Blackboard &board, const RowEntry &row, const PacketHead &head)
        -> std::string
{
    const auto *entry = ownerOf(board, row, head.service, head.cookie).entry;
    if (entry == nullptr) {
        return "";
    }
    const auto &upstream = entry->record.upstream;
    const auto &evidence = entry->evidence;
    return " upstream=" + hexOf(upstream.instance) + "@" + upstream.address.toString()
           + " lost_ms_ago=" + ageText(board, evidence.lostRequests.oldestAt())
           + " silent_ms_ago=" + ageText(board, evidence.silentSince)
           + " heard_ms_ago=" + heardAgoText(board.now.mono, evidence);
}

/// Describes how long ago the pending request of a flow was first forwarded.
auto describeRequest(const Blackboard &board, const PacketHead &head) -> std::string
{
    const auto *flow = board.packets.flows.find(FlowKey::of(head));
    if (flow == nullptr) {
        return "";
    }
    return " sent_ms_ago=" + std::to_string(FlowTable::clock(board.now.mono) - flow->sentAt);
}

} // namespace

auto describePacket(const Blackboard &board, const PacketHead &head, const PacketDecision &decision)
        -> std::string
{
    const auto *row = board.directory.rowAt(head.service);
    const auto age = milliseconds(board.config.platformAge(board.now.mono));
    std::string text = "reason=" + std::string(toString(decision.reason))
                       + " row=" + (row == nullptr ? std::string("none") : row->row->name);
    for (std::size_t i = 0; i < decision.targetCount; ++i) {
        text += describeTarget(board, decision.targets[i]);
    }
    if (decision.reason == PacketReason::UpstreamSilent && row != nullptr) {
        text += describeSilentUpstream(board, *row, head);
    }
    if (decision.reason == PacketReason::Overloaded && row != nullptr) {
        for (const auto &share : row->row->shares) {
            text += " " + describeAdmission(board, *row->row, share.service, head.caller.ip);
        }
    }
    if (decision.reason == PacketReason::SteeredOverdue) {
        text += describeRequest(board, head);
    }
    if (head.flags.opens) {
        text += " copy=" + std::to_string(head.retransmissions);
    } else {
        text += " cookie=" + std::to_string(head.cookie.value);
    }
    const auto *rows = board.directory.rows();
    return text + " rows=" + std::to_string(rows == nullptr ? 0 : rows->version) + " directory="
           + std::to_string(board.directory.revision().number) + " directory_age_ms="
           + ageText(board, board.freshness.asOf()) + " platform_age_ms=" + std::to_string(age);
}

} // namespace flamingograde
