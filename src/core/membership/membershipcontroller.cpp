/// Handles the events that concern other hosts.
#include "core/membership/membershipcontroller.h"

#include "core/blackboard.h"
#include "core/membership/gossip.h"
#include "core/membership/membermerge.h"
#include "core/membership/memberremoval.h"
#include "core/membership/membershipstart.h"
#include "core/overloaded.h"

#include <vector>

namespace flamingograde {

namespace {

/// Merges one entry of the platform's host list. What a host reports of itself takes precedence
/// over the list.
auto mergeListed(Blackboard &board, const Member &listed) -> void
{
    auto &record = addMember(board, listed);
    record.everListed = true;
    record.listed = true;
    if (record.member.id == board.membership.self) {
        return;
    }
    const auto lacksIncarnation = record.member.incarnation == 0;
    if (lacksIncarnation || record.member.state == MemberState::Dead) {
        record.member.peer = listed.peer;
        record.member.relay = listed.relay;
    }
    if (lacksIncarnation && listed.state == MemberState::Leaving
        && record.member.state == MemberState::Alive) {
        changeMember(board, record, MemberState::Leaving);
    }
}

/// Records that the member sent a message. A suspected member stays suspected until it refutes the
/// suspicion.
auto recordContact(const Blackboard &board, MemberRecord &record) -> void
{
    record.heard = board.now.mono;
    record.refusals = 0;
    if (record.member.state < MemberState::Suspect) {
        record.unanswered = false;
        record.failureConfirmed = false;
    }
}

/// Merges the member updates and loads that a message carries.
auto mergeGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void
{
    for (const auto &update : gossip.updates) {
        mergeMember(board, from, update);
    }
    for (const auto &load : gossip.loads) {
        board.cells.noteRemoteLoad(load, board.now.mono);
    }
}

} // namespace

auto MembershipController::handle(Blackboard &board, const Event &event) -> void
{
    if (!this->started) {
        this->start(board);
    }
    if (this->pauses.detectPause(board)) {
        this->detector.reset(board);
        raiseIncarnation(board, 0);
    }
    std::visit(Overloaded { [&](const HostsFetched &it) { this->on(board, it); },
                            [&](const PeerUp &it) { this->on(board, it); },
                            [&](const PeerDown &it) { this->on(board, it); },
                            [&](const PeerMessage &it) { this->on(board, it); },
                            [&](const SeedsRead &it) { this->on(board, it); },
                            [&](const Tick &it) { this->on(board, it); },
                            [&](const StopRequested & /*it*/) { this->leave(board); },
                            [](const auto & /*other*/) {} },
               event);
    board.membership.refresh();
}

auto MembershipController::start(Blackboard &board) -> void
{
    this->started = true;
    initialiseMembership(board);
}

auto MembershipController::on(Blackboard &board, const HostsFetched &fetched) -> void
{
    auto &membership = board.membership;
    for (auto &[id, record] : membership.records()) {
        record.listed = false;
    }
    for (const auto &listed : fetched.hosts) {
        mergeListed(board, listed);
    }
    membership.listRead = true;
    membership.listedAt = board.now.mono;
    membership.everListedSelf = membership.record(membership.self)->everListed;
    removeExpiredMembers(board);
}

auto MembershipController::on(Blackboard &board, const PeerUp &up) -> void
{
    auto member = up.member;
    member.id = HostId::ofName(member.name);
    member.zone = ZoneId::ofName(member.zoneName);
    if (member.id == board.membership.self) {
        return;
    }
    mergeMember(board, member.id, member);
    recordContact(board, *board.membership.record(member.id));
    this->dialer.connected(board, member.id);
    board.membership.record(member.id)->viewsNotCompared = true;
    sendPeer(board, member.id, Ping { 0, makeGossip(board, member.id) });
}

auto MembershipController::on(Blackboard &board, const PeerDown &down) -> void
{
    this->dialer.lost(board, down);
    this->detector.markUnanswered(board, down.host);
}

auto MembershipController::on(Blackboard &board, const PeerMessage &received) -> void
{
    ++board.stats.peerMessagesReceived;
    auto *record = board.membership.record(received.from);
    if (record == nullptr || received.from == board.membership.self) {
        return;
    }
    recordContact(board, *record);
    if (const auto *gossip = gossipOf(received.message)) {
        mergeGossip(board, received.from, *gossip);
        this->lists.heard(board, received.from, *gossip);
    }
    std::visit(
            Overloaded {
                    [&](const Ping &ping) {
                        if (ping.sequence != 0) {
                            sendPeer(board, received.from,
                                     Ack { ping.sequence, makeGossip(board, received.from) });
                        }
                    },
                    [&](const Ack &ack) { this->detector.onAck(board, ack); },
                    [&](const PingRequest &request) {
                        this->detector.onPingRequest(board, received.from, request);
                    },
                    [&](const PingReport &report) { this->detector.onPingReport(board, report); },
                    [](const auto & /*other*/) {} },
            received.message);
}

auto MembershipController::on(Blackboard &board, const SeedsRead &read) -> void
{
    board.init.seedAddresses = read.addresses;
    this->seeds.dialWithNextTick();
}

auto MembershipController::on(Blackboard &board, const Tick & /*tick*/) -> void
{
    if (board.stop.ready && !this->deathAnnounced) {
        this->deathAnnounced = true;
        changeMember(board, *board.membership.record(board.membership.self), MemberState::Dead);
        return;
    }
    this->mesh.choose(board);
    this->dialer.tick(board, this->mesh.wanted());
    this->seeds.tick(board);
    this->detector.tick(board, this->mesh);
    board.membership.refresh();
    board.stats.membersAlive = board.membership.aliveCount();
}

auto MembershipController::leave(Blackboard &board) -> void
{
    auto &record = *board.membership.record(board.membership.self);
    if (record.leaving) {
        return;
    }
    raiseIncarnation(board, 0);
    changeMember(board, record, MemberState::Leaving);
}

} // namespace flamingograde
