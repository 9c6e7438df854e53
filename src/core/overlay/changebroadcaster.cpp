/// Batching of membership changes into messages.
#include "core/overlay/changebroadcaster.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"
#include "core/overlay/linkchoice.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Least time between two batches. The delay is harmless: only the choice of connections depends on
/// the changes.
constexpr Duration batchPeriod = 300ms;

/// Most members in one message, which takes 5 KB with names of 13 letters.
constexpr std::size_t membersPerMessage = 64;

/// Returns up to `membersPerMessage` members with unsent changes and marks them as sent.
auto takeUnsentChanges(Blackboard &board) -> std::vector<Member>
{
    std::vector<Member> changes;
    for (auto &[id, record] : board.membership.records()) {
        if (changes.size() < membersPerMessage
            && std::exchange(record.link.hasUnsentChange, false)) {
            changes.push_back(record.member);
        }
    }
    return changes;
}

/// Returns whether any member has an unsent change.
auto isBatchPending(const Blackboard &board) -> bool
{
    const auto &records = board.membership.records();
    return std::any_of(records.begin(), records.end(),
                       [](const auto &entry) { return entry.second.link.hasUnsentChange; });
}

} // namespace

auto ChangeBroadcaster::tick(Blackboard &board) -> void
{
    if (board.now.mono < this->nextBatch || !isBatchPending(board)) {
        return;
    }
    this->nextBatch = board.now.mono + batchPeriod;
    sendNow(board);
}

auto ChangeBroadcaster::sendNow(Blackboard &board) -> void
{
    const auto targets = forwardTargets(board, board.membership.self);
    if (targets.empty()) {
        return; // The changes are kept until there is a host to send them to.
    }
    const auto changes = takeUnsentChanges(board);
    for (const auto host : targets) {
        auto gossip = makeGossip(board, host);
        gossip.updates = changes;
        sendPeer(board, host, Ping { 0, std::move(gossip) });
    }
}

} // namespace flamingograde
