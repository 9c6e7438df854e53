/// Stages of flows, and what they say of their upstreams.
#include "core/packets/flowwatch.h"

#include "core/blackboard.h"
#include "core/packets/silence.h"

#include <flamingograde/config.h>

#include <utility>

namespace flamingograde {

namespace {

/// Weight of a new measure in a mean: about the last ten count.
constexpr auto gainDivisor = 10;
/// Part of the flow table that is looked at in each tick: all of it in 64 ticks, 3.2 s.
constexpr std::size_t sweepDivisor = 64;

auto isRunning(FlowStage stage) -> bool
{
    return stage != FlowStage::Free && stage != FlowStage::Idle;
}

/// Returns the entry that a flow belongs to, or null where its index was given to another, or its
/// upstream started again since.
auto upstreamOf(Blackboard &board, const FlowEntry &flow) -> UpstreamEntry *
{
    auto &entry = board.directory.at(flow.upstream);
    return entry.cookie == flow.cookie && entry.life == flow.life ? &entry : nullptr;
}

/// Moves a flow to another stage and counts requests under way.
auto enter(Blackboard &board, FlowEntry &flow, FlowStage stage) -> void
{
    auto *entry = upstreamOf(board, flow);
    if (entry != nullptr && isRunning(flow.stage) != isRunning(stage)) {
        if (isRunning(stage)) {
            board.directory.beginRequest(*entry);
        } else {
            board.directory.endRequest(*entry);
        }
    }
    auto &used = board.packets.flows.used;
    used += (stage != FlowStage::Free ? 1 : 0) - (flow.stage != FlowStage::Free ? 1 : 0);
    flow.stage = stage;
}

auto addSample(Duration &mean, std::uint32_t milliseconds) -> void
{
    const Duration sample = std::chrono::milliseconds(milliseconds);
    mean = mean == Duration(0) ? sample : mean + (sample - mean) / gainDivisor;
}

/// Gives a claimed entry to a flow.
auto assign(Blackboard &board, FlowEntry &flow, const PacketHead &head, std::uint32_t upstream)
        -> void
{
    unwatch(board, flow);
    flow.key = FlowKey::of(head);
    flow.upstream = upstream;
    flow.cookie = board.directory.at(upstream).cookie;
    flow.life = board.directory.at(upstream).life;
    flow.acknowledged = head.acknowledged;
    flow.sequence = head.sequence;
    flow.awaitsFirstRequest = false;
}

/// Returns whether the last packet of a flow came here so long ago that others may have gone
/// through another host: what this one acknowledges may be as old.
auto isStale(const Blackboard &board, const FlowEntry &flow) -> bool
{
    return FlowTable::clock(board.now.mono) - flow.packetAt >= config::signFresh.count();
}

/// Takes the first packet after the opening one: its upstream answered.
auto takeAnswer(Blackboard &board, FlowEntry &flow, const PacketHead &head, std::uint32_t upstream)
        -> void
{
    const auto took = FlowTable::clock(board.now.mono) - flow.sentAt;
    if (flow.upstream != upstream) {
        assign(board, flow, head, upstream); // A copy of the opening was answered first.
    }
    if (!isStale(board, flow)) {
        addSample(board.directory.at(upstream).evidence.handshake, took);
        board.stats.handshakes.add(took);
        noteSign(board, upstream);
        noteAnswered(board, flow.sentAt);
    }
    flow.acknowledged = head.acknowledged;
    flow.sequence = head.sequence;
    enter(board, flow, FlowStage::Idle);
}

/// Takes a newer acknowledgement: the upstream sent something that reached the caller.
auto takeProgress(Blackboard &board, FlowEntry &flow, const PacketHead &head) -> void
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
        enter(board, flow, FlowStage::Idle);
        return;
    }
    noteSign(board, flow.upstream);
    if (flow.stage != FlowStage::Idle) {
        const auto took = FlowTable::clock(board.now.mono) - flow.sentAt;
        addSample(board.directory.at(flow.upstream).evidence.response, took);
        noteAnswered(board, flow.sentAt);
        board.stats.responses.add(took);
        enter(board, flow, FlowStage::Idle);
    }
}

/// Takes a request that its caller sent again: nothing came within its resend time.
/// @returns whether the request was not known to be overdue before.
auto takeResend(Blackboard &board, FlowEntry &flow) -> bool
{
    const auto sentFor = FlowTable::clock(board.now.mono) - flow.sentAt;
    const auto isTrusted = board.now.mono >= board.packets.trustedFrom;
    auto *entry = upstreamOf(board, flow);
    if (!isTrusted || entry == nullptr) {
        return false;
    }
    if (flow.stage == FlowStage::Waiting && sentFor >= config::resendTime.count()) {
        enter(board, flow, FlowStage::Overdue);
        noteUnanswered(board, flow.upstream, flow.sentAt);
        return true;
    }
    if (flow.stage == FlowStage::Overdue && sentFor >= config::resendAgainTime.count()) {
        enter(board, flow, FlowStage::Lost);
        noteLost(board, *entry, flow.sentAt);
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

/// Takes what a packet carries.
auto takeData(Blackboard &board, FlowEntry &flow, const PacketHead &head) -> RequestSign
{
    const auto advance = static_cast<std::int32_t>(head.sequence - flow.sequence);
    const auto isNew = advance > 0 || flow.stage == FlowStage::Idle;
    if (head.dataBytes == 0) {
        return RequestSign::None;
    }
    if (!isNew) {
        return takeResend(board, flow) ? RequestSign::Overdue : RequestSign::Asks;
    }
    flow.sequence = head.sequence;
    if (flow.stage == FlowStage::Idle) {
        if (!std::exchange(flow.awaitsFirstRequest, false)) {
            countAgainstColdLimit(board, flow); // The opening counted the first request.
        }
        flow.sentAt = FlowTable::clock(board.now.mono);
        enter(board, flow, FlowStage::Waiting);
    }
    return RequestSign::Asks;
}

/// Returns the watched flow of a packet, or null: packets without data begin no watch.
auto flowOf(Blackboard &board, const PacketHead &head, std::uint32_t upstream) -> FlowEntry *
{
    auto &flows = board.packets.flows;
    const auto key = FlowKey::of(head);
    auto *flow = flows.find(key);
    if (flow != nullptr || head.dataBytes == 0) {
        return flow;
    }
    auto &claimed = flows.claim(key);
    assign(board, claimed, head, upstream);
    enter(board, claimed, FlowStage::Idle);
    return &claimed;
}

auto judgeOpening(Blackboard &board, const PendingOpening &opening) -> void
{
    const auto &flow = board.packets.flows.at(opening.flow);
    const auto waits = flow.stage == FlowStage::Opening && flow.sentAt == opening.sentAt
                       && flow.upstream == opening.upstream;
    if (waits) {
        noteUnanswered(board, opening.upstream, opening.sentAt);
    }
}

auto reviewOpenings(Blackboard &board) -> void
{
    constexpr auto patience = static_cast<std::uint32_t>(config::handshakePatience.count());
    auto &openings = board.packets.openings;
    const auto now = FlowTable::clock(board.now.mono);
    while (const auto *opening = openings.oldest()) {
        if (now - opening->sentAt < patience) {
            return;
        }
        const auto due = *opening;
        openings.pop();
        judgeOpening(board, due);
    }
}

auto sweep(Blackboard &board) -> void
{
    constexpr auto forget = static_cast<std::uint32_t>(config::busyForget.count());
    auto &packets = board.packets;
    const auto now = FlowTable::clock(board.now.mono);
    const auto count = packets.flows.capacity() / sweepDivisor;
    for (std::size_t i = 0; i < count; ++i) {
        auto &flow = packets.flows.at(packets.swept);
        packets.swept = (packets.swept + 1) % packets.flows.capacity();
        if (isRunning(flow.stage) && now - flow.packetAt >= forget) {
            unwatch(board, flow);
        }
    }
}

} // namespace

auto watchOpening(Blackboard &board, FlowEntry &flow, const PacketHead &head,
                  std::uint32_t upstream) -> void
{
    assign(board, flow, head, upstream);
    flow.awaitsFirstRequest = true;
    countAgainstColdLimit(board, flow);
    flow.sentAt = FlowTable::clock(board.now.mono);
    flow.packetAt = flow.sentAt;
    enter(board, flow, FlowStage::Opening);
    if (board.now.mono >= board.packets.trustedFrom) {
        board.packets.openings.push({ board.packets.flows.indexOf(flow), upstream, flow.sentAt });
    }
}

auto watchPacket(Blackboard &board, const PacketHead &head, std::uint32_t upstream) -> RequestSign
{
    auto *flow = flowOf(board, head, upstream);
    if (flow == nullptr) {
        return RequestSign::None;
    }
    if (head.flags.resets) {
        unwatch(board, *flow);
        return RequestSign::None;
    }
    if (flow->stage == FlowStage::Opening) {
        takeAnswer(board, *flow, head, upstream);
    } else {
        takeProgress(board, *flow, head);
    }
    const auto sign = takeData(board, *flow, head);
    flow->packetAt = FlowTable::clock(board.now.mono);
    if (head.flags.finishes) {
        unwatch(board, *flow);
    }
    return sign;
}

auto unwatch(Blackboard &board, FlowEntry &flow) -> void
{
    if (flow.stage != FlowStage::Free) {
        enter(board, flow, FlowStage::Free);
    }
}

auto reviewFlows(Blackboard &board) -> void
{
    reviewOpenings(board);
    sweep(board);
}

auto distrustOpenings(Blackboard &board) -> void
{
    board.packets.openings.clear();
    board.packets.trustedFrom = board.now.mono + config::distrustTime;
}

} // namespace flamingograde
