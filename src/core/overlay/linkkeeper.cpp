/// Dials, questions and closes.
#include "core/overlay/linkkeeper.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"
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

constexpr Duration choicePeriod = 200ms;
/// The answers carry how old the platform's word is, which has to reach all within
/// `config::directoryStale`, and tell of changes that were not sent.
constexpr Duration feedQuestions = 500ms;
constexpr Duration otherQuestions = 1500ms;
/// An answer may take long on a host of 0.038 of a core that is behind with callers' packets; to
/// turn away from it too soon costs a connection, too late nothing but the age of what is known.
constexpr Duration answerPatience = 1000ms;
constexpr Duration retryAfter = 2s;  ///< A host that did not answer is tried again after this.
constexpr Duration idleAllowed = 2s; ///< A connection that nobody needs is closed after this.

auto hasFailed(const Blackboard &board, const MemberRecord &record) -> bool
{
    const auto &asked = record.link.askedAt;
    return asked && board.now.mono - *asked >= answerPatience;
}

auto turnAway(Blackboard &board, MemberRecord &record) -> void
{
    record.unanswered = true;
    record.unansweredSince = board.now.mono;
    record.link.askedAt.reset();
}

auto isIdle(const Blackboard &board, const MemberRecord &record) -> bool
{
    return record.connected && record.link.use == LinkUse::None
           && board.links.useOf(record.member.id) == LinkUse::None
           && board.now.mono - record.link.since >= idleAllowed;
}

auto closeIdle(Blackboard &board) -> void
{
    for (auto &[id, record] : board.membership.records()) {
        if (board.membership.connectedCount() > 1 && isIdle(board, record)) {
            board.act(DropPeer { id });
            record.connected = false;
            board.membership.touch();
            board.membership.refresh();
        }
    }
}

/// Returns the hosts to be dialled that did not answer a while ago.
auto dueAgain(const Blackboard &board) -> std::vector<HostId>
{
    std::vector<HostId> hosts;
    for (const auto host : board.links.missed) {
        const auto *record = board.membership.record(host);
        if (record != nullptr && board.now.mono - record->unansweredSince >= retryAfter) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace

auto LinkKeeper::tick(Blackboard &board) -> void
{
    if (board.now.mono >= this->nextChoice) {
        this->nextChoice = board.now.mono + choicePeriod;
        this->choose(board);
        closeIdle(board);
    }
    this->dialer.tick(board, board.links.wanted);
    this->dialer.tick(board, dueAgain(board));
    for (auto &[id, record] : board.membership.records()) {
        if (!record.connected) {
            continue;
        }
        if (hasFailed(board, record)) {
            turnAway(board, record);
        }
        if (board.now.mono >= record.link.nextQuestion && board.links.useOf(id) != LinkUse::None) {
            this->ask(board, record);
        }
    }
}

auto LinkKeeper::choose(Blackboard &board) -> void
{
    const auto before = std::exchange(board.links, chooseLinks(board));
    for (auto &[id, record] : board.membership.records()) {
        if (!record.connected || before.useOf(id) == board.links.useOf(id)) {
            continue;
        }
        sendPeer(board, id, Ping { 0, makeGossip(board, id) }); // Tells the use.
    }
}

auto LinkKeeper::ask(Blackboard &board, MemberRecord &record) -> void
{
    const auto host = record.member.id;
    const auto self = board.membership.self;
    const auto isFeed = board.links.useOf(host) == LinkUse::Feed;
    const auto isOftenAsked = isFeed || (board.links.isHub(host) && board.links.isHub(self));
    record.link.nextQuestion = board.now.mono + (isOftenAsked ? feedQuestions : otherQuestions);
    record.link.askedAt = record.link.askedAt.value_or(board.now.mono);
    auto gossip = makeGossip(board, host);
    if (!isInOwnZone(board, record) && !board.links.hubs.empty()) {
        this->lastTold = (this->lastTold + 1) % board.links.hubs.size();
        gossip.updates.push_back(*board.membership.find(board.links.hubs[this->lastTold]));
    }
    sendPeer(board, host, Ping { 1, std::move(gossip) });
}

auto LinkKeeper::connected(Blackboard &board, MemberRecord &record) -> void
{
    this->dialer.connected(board, record.member.id);
    record.link.use = LinkUse::None;
    record.link.since = board.now.mono;
    record.link.nextQuestion = board.now.mono;
    heard(board, record);
}

auto LinkKeeper::lost(Blackboard &board, const PeerDown &down) -> void
{
    auto &record = *board.membership.record(down.host);
    const auto wasDial = !record.connected;
    this->dialer.lost(board, down);
    record.link.use = LinkUse::None;
    record.link.askedAt.reset();
    record.link.failedDials += wasDial ? 1 : 0;
    if (wasDial || down.loss == PeerLoss::Silent) {
        turnAway(board, record);
    }
}

auto LinkKeeper::heard(const Blackboard &board, MemberRecord &record) -> void
{
    record.heard = board.now.mono;
    record.unanswered = false;
    record.refusals = 0;
    record.link.askedAt.reset();
    record.link.lostAt.reset();
    record.link.failedDials = 0;
}

auto LinkKeeper::reset(Blackboard &board) -> void
{
    for (auto &[id, record] : board.membership.records()) {
        record.unanswered = false;
        record.link.askedAt.reset();
    }
}

} // namespace flamingograde
