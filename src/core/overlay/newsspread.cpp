/// When changes are sent on, and in how many messages.
#include "core/overlay/newsspread.h"

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

/// Pause between two messages with news. What waits for it is only whom to connect with next.
constexpr Duration gatherTime = 300ms;

/// Members in one message: 5 KB with names of 13 letters.
constexpr std::size_t membersPerMessage = 64;

auto takeUntold(Blackboard &board) -> std::vector<Member>
{
    std::vector<Member> news;
    for (auto &[id, record] : board.membership.records()) {
        if (news.size() < membersPerMessage && std::exchange(record.link.isUntold, false)) {
            news.push_back(record.member);
        }
    }
    return news;
}

auto hasUntold(const Blackboard &board) -> bool
{
    const auto &records = board.membership.records();
    return std::any_of(records.begin(), records.end(),
                       [](const auto &entry) { return entry.second.link.isUntold; });
}

} // namespace

auto NewsSpread::tick(Blackboard &board) -> void
{
    if (board.now.mono < this->next || !hasUntold(board)) {
        return;
    }
    this->next = board.now.mono + gatherTime;
    sendNow(board);
}

auto NewsSpread::sendNow(Blackboard &board) -> void
{
    const auto targets = spreadTargets(board, board.membership.self);
    if (targets.empty()) {
        return; // Told once there is someone to tell.
    }
    const auto news = takeUntold(board);
    for (const auto host : targets) {
        auto gossip = makeGossip(board, host);
        gossip.updates = news;
        sendPeer(board, host, Ping { 0, std::move(gossip) });
    }
}

} // namespace flamingograde
