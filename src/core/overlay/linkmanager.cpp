/// Timing of choices, dials and pings, and closing of idle connections.
#include "core/overlay/linkmanager.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"
#include "core/membership/messageclock.h"
#include "core/membership/ownzone.h"
#include "core/overlay/linkchoice.h"
#include "core/overlay/zonehubs.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration choicePeriod = 200ms; ///< Period at which connections are chosen anew.
/// Ping period of the feed and between hubs. The answers carry the age of the platform's last
/// answer, which has to reach all hosts within `config::directoryStale`, and show whether changes
/// of the directory were missed.
constexpr Duration feedPingPeriod = 500ms;
/// Ping period of all other chosen connections.
constexpr Duration otherPingPeriod = 1500ms;
/// A host with 0.038 of a core may answer late while it has a backlog of callers' packets. A
/// time-out that is too short costs a connection; one that is too long only delays what this host
/// learns.
constexpr Duration answerTimeout = 1000ms;
constexpr Duration redialPause = 2s; ///< Pause before an unresponsive host is dialled again.
constexpr Duration idleTimeout = 2s; ///< Age at which an unneeded connection is closed.

/// Returns whether a ping of the member has been unanswered for `answerTimeout`.
auto hasTimedOut(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto &asked = record.link.pingedAt;
    return asked && board.now.mono - *asked >= answerTimeout;
}

/// Records that the member did not answer this host, so that other hosts are chosen in its place.
auto markUnanswered(Blackboard &board, MemberRecord &record) -> void
{
    record.unanswered = true;
    record.unansweredSince = board.now.mono;
    record.link.pingedAt.reset();
}

/// Returns whether neither side needs the connection and it is old enough to be closed.
auto isIdle(const Blackboard &board, const MemberRecord &record) -> bool
{
    return record.connected && record.link.use == LinkUse::None
           && board.links.useOf(record.member.id) == LinkUse::None
           && board.now.mono - record.link.since >= idleTimeout;
}

/// Closes idle connections, except the last connection of this host.
auto closeIdle(Blackboard &board) -> void
{
    for (auto &[id, record] : board.membership.records()) {
        if (board.membership.connectedCount() > 1 && isIdle(board, record)) {
            board.addAction(DropPeer { id });
            record.connected = false;
            board.membership.invalidateLookups();
            board.membership.refresh();
        }
    }
}

/// Returns the unresponsive hosts whose pause before the next dial is over.
auto dueForRedial(const Blackboard &board) -> std::vector<HostId>
{
    std::vector<HostId> hosts;
    for (const auto host : board.links.unresponsive) {
        const auto *record = board.membership.record(host);
        if (record != nullptr && board.now.mono - record->unansweredSince >= redialPause) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace

auto LinkManager::tick(Blackboard &board) -> void
{
    if (board.now.mono >= this->nextChoice) {
        this->nextChoice = board.now.mono + choicePeriod;
        this->choose(board);
        closeIdle(board);
    }
    this->dialer.tick(board, board.links.wanted);
    this->dialer.tick(board, dueForRedial(board));
    for (auto &[id, record] : board.membership.records()) {
        if (!record.connected) {
            continue;
        }
        if (hasTimedOut(board, record)) {
            markUnanswered(board, record);
        }
        if (board.now.mono >= record.link.nextPing && board.links.useOf(id) != LinkUse::None) {
            this->ping(board, record);
        }
    }
}

auto LinkManager::choose(Blackboard &board) -> void
{
    const auto before = std::exchange(board.links, chooseLinks(board));
    for (auto &[id, record] : board.membership.records()) {
        if (!record.connected || before.useOf(id) == board.links.useOf(id)) {
            continue;
        }
        sendPeer(board, id, Ping { 0, makeGossip(board, id) }); // Carries the new link use.
    }
}

auto LinkManager::ping(Blackboard &board, MemberRecord &record) -> void
{
    const auto host = record.member.id;
    const auto self = board.membership.self;
    const auto isFeed = board.links.useOf(host) == LinkUse::Changes;
    const auto isPingedOften = isFeed || (board.links.isHub(host) && board.links.isHub(self));
    record.link.nextPing = board.now.mono + (isPingedOften ? feedPingPeriod : otherPingPeriod);
    record.link.pingedAt = record.link.pingedAt.value_or(board.now.mono);
    auto gossip = makeGossip(board, host);
    if (!isInOwnZone(board, record) && !board.links.hubs.empty()) {
        this->lastIntroduced = (this->lastIntroduced + 1) % board.links.hubs.size();
        gossip.updates.push_back(*board.membership.find(board.links.hubs[this->lastIntroduced]));
    }
    sendPeer(board, host, Ping { clockToSend(board), std::move(gossip) });
}

auto LinkManager::connected(Blackboard &board, MemberRecord &record) -> void
{
    this->dialer.connected(board, record.member.id);
    record.link.use = LinkUse::None;
    record.link.clockMs = 0;
    record.link.since = board.now.mono;
    record.link.nextPing = board.now.mono;
    heard(board, record);
}

auto LinkManager::lost(Blackboard &board, const PeerDown &down) -> void
{
    auto &record = *board.membership.record(down.host);
    const auto wasDial = !record.connected;
    this->dialer.lost(board, down);
    record.link.use = LinkUse::None;
    record.link.pingedAt.reset();
    record.link.failedDials += wasDial ? 1 : 0;
    if (wasDial || down.loss == PeerLoss::Silent) {
        markUnanswered(board, record);
    }
}

auto LinkManager::heard(const Blackboard &board, MemberRecord &record) -> void
{
    record.heard = board.now.mono;
    record.unanswered = false;
    record.refusals = 0;
    record.link.pingedAt.reset();
    record.link.suspectedSince.reset();
    record.link.failedDials = 0;
}

auto LinkManager::reset(Blackboard &board) -> void
{
    for (auto &[id, record] : board.membership.records()) {
        record.unanswered = false;
        record.link.pingedAt.reset();
    }
}

} // namespace flamingograde
