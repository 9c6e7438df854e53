/// Dispatch of membership events to the parts of the overlay.
#include "core/overlay/overlaycontroller.h"

#include "core/blackboard.h"
#include "core/loadreports/demandreports.h"
#include "core/membership/gossip.h"
#include "core/membership/membershipstart.h"
#include "core/membership/messageclock.h"
#include "core/membership/ownzone.h"
#include "core/overlay/viewchanges.h"
#include "core/overlay/zoneview.h"
#include "core/overloaded.h"

#include <chrono>
#include <utility>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration trimPeriod = 1s; ///< Period at which the view is trimmed to its bounds.

/// Logs the membership changes of one event in one line, if there are any.
auto logChanges(Blackboard &board, const ViewChanges &changes) -> void
{
    if (changes.count() == 0) {
        return;
    }
    board.log(LogEvent::MembersChanged,
              "joined=" + std::to_string(changes.joined) + " leaving="
                      + std::to_string(changes.leaving) + " dead=" + std::to_string(changes.dead)
                      + " names=" + changes.names + " zone_hosts="
                      + std::to_string(board.membership.voters(board.init.self.zone).size()));
}

} // namespace

auto OverlayController::handle(Blackboard &board, const Event &event) -> void
{
    if (!this->started) {
        this->start(board);
    }
    if (this->pauses.detectPause(board)) {
        LinkManager::reset(board);
    }
    ViewChanges changes;
    std::visit(Overloaded { [&](const PeerUp &it) { this->on(board, it, changes); },
                            [&](const PeerDown &it) { this->on(board, it); },
                            [&](const PeerMessage &it) { this->on(board, it, changes); },
                            [&](const SeedsRead &it) { this->on(board, it); },
                            [&](const Tick &it) { this->on(board, it, changes); },
                            [&](const StopRequested & /*it*/) { this->leave(board, changes); },
                            [](const auto & /*other*/) {} },
               event);
    board.membership.refresh();
    logChanges(board, changes);
}

auto OverlayController::start(Blackboard &board) -> void
{
    this->started = true;
    initialiseMembership(board);
    board.membership.limitDigestTo(board.init.self.zone);
    board.membership.record(board.membership.self)->link.hasUnsentChange = true;
    board.membership.refresh();
}

auto OverlayController::on(Blackboard &board, const PeerUp &up, ViewChanges &changes) -> void
{
    if (HostId::ofName(up.member.name) == board.membership.self) {
        return;
    }
    auto &record = learnConnected(board, up.member, changes);
    this->links.connected(board, record);
    record.viewsNotCompared = true;
    auto gossip = makeGossip(board, record.member.id);
    if (!isInOwnZone(board, record)) {
        gossip.updates = introductionFor(board, record.member.zone);
    }
    // An answer may show that the directory is current, if that is still to be shown.
    const auto sequence = board.freshness.isConfirmed() ? 0 : clockToSend(board);
    sendPeer(board, record.member.id, Ping { sequence, std::move(gossip) });
}

auto OverlayController::on(Blackboard &board, const PeerDown &down) -> void
{
    if (board.membership.record(down.host) == nullptr) {
        return; // A seed with which no connection was ever established.
    }
    this->links.lost(board, down);
    this->deadHosts.lost(board, down);
}

auto OverlayController::on(Blackboard &board, const PeerMessage &received, ViewChanges &changes)
        -> void
{
    ++board.stats.peerMessagesReceived;
    auto *record = board.membership.record(received.from);
    if (record == nullptr || !record->connected) {
        return; // The message was in transit when the connection was closed.
    }
    LinkManager::heard(board, *record);
    if (const auto *gossip = gossipOf(received.message)) {
        record->link.use = gossip->linkUse;
        noteClock(board, record->link, *gossip);
        takeDemandReports(board, received.from, gossip->demand);
        for (const auto &reported : gossip->updates) {
            learnMember(board, reported, changes);
        }
        if (isInOwnZone(board, *record)) {
            this->lists.heard(board, received.from, *gossip);
        }
    }
    const auto *ping = std::get_if<Ping>(&received.message);
    if (ping != nullptr && ping->sequence != 0) {
        sendPeer(board, received.from, Ack { ping->sequence, makeGossip(board, received.from) });
    }
}

auto OverlayController::on(Blackboard &board, const SeedsRead &read) -> void
{
    board.init.seedAddresses = read.addresses;
    this->seeds.dialWithNextTick();
}

auto OverlayController::on(Blackboard &board, const Tick & /*tick*/, ViewChanges &changes) -> void
{
    if (board.stop.ready && !this->departureAnnounced) {
        this->departureAnnounced = true;
        setMemberState(board, *board.membership.record(board.membership.self), MemberState::Dead,
                       changes);
        ChangeBroadcaster::sendNow(board);
        return;
    }
    this->links.tick(board);
    this->seeds.tick(board);
    this->deadHosts.tick(board, changes);
    this->changeBroadcaster.tick(board);
    this->demandReporter.tick(board);
    if (board.now.mono >= this->nextTrim) {
        this->nextTrim = board.now.mono + trimPeriod;
        trimView(board);
    }
    board.membership.refresh();
    board.stats.membersAlive = board.membership.aliveCount();
}

auto OverlayController::leave(Blackboard &board, ViewChanges &changes) -> void
{
    auto &record = *board.membership.record(board.membership.self);
    if (record.leaving) {
        return;
    }
    ++record.member.incarnation;
    setMemberState(board, record, MemberState::Leaving, changes);
    ChangeBroadcaster::sendNow(board);
}

} // namespace flamingograde
