/// When to read the directory, what to ask of other hosts, and whom to tell.
#include "core/directory/directorycontroller.h"

#include "core/blackboard.h"
#include "core/directory/directorylog.h"
#include "core/membership/gossip.h"
#include "core/overloaded.h"
#include "core/rendezvous.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <random>

namespace flamingograde {

namespace {

/// The key under which the readers of a zone are drawn.
const auto readerKey = hashName("directory reader");

/// Returns whether another host of the zone can do the reading for this one.
auto isReachable(const Blackboard &board, HostId host)
{
    const auto *record = board.membership.record(host);
    return record != nullptr && record->connected && !record->unanswered;
}

/// Returns whether this host is one of its zone's readers.
auto isReader(const Blackboard &board) -> bool
{
    const auto self = board.init.self.id;
    const auto ownScore = rendezvousScore(readerKey, { self.value() });
    std::size_t better = 0;
    for (const auto host : board.membership.candidates(board.init.self.zone)) {
        const auto isBetter =
                host != self && rendezvousScore(readerKey, { host.value() }) > ownScore;
        better += isBetter && isReachable(board, host) ? 1 : 0;
    }
    return better < config::directoryReadersPerZone;
}

/// Returns a pause drawn from the upper half of `pause`, so that hosts do not read in step.
auto jittered(Blackboard &board, Duration pause) -> Duration
{
    std::uniform_int_distribution<Duration::rep> draw(pause.count() / 2, pause.count());
    return Duration(draw(board.random));
}

/// Sends an update to the hosts of the zone that are not known to have it.
auto pushToZone(Blackboard &board, const DirectoryUpdate &update, HostId except) -> void
{
    for (auto &[id, record] : board.membership.records()) {
        const auto isDue = record.connected && id != except
                           && record.member.zone == board.init.self.zone
                           && record.directory < update.upTo;
        if (!isDue) {
            continue;
        }
        const auto fits = !(record.directory < update.after);
        sendPeer(board, id,
                 fits ? update : board.directory.updateSince(record.directory, board.now.mono));
        record.directory = update.upTo;
    }
}

/// Returns whether a host of this one's zone sent an update, so that it pushes to the zone itself.
auto isPushedByZone(const Blackboard &board, HostId from) -> bool
{
    const auto *member = board.membership.find(from);
    return member != nullptr && from != board.init.self.id && member->zone == board.init.self.zone;
}

} // namespace

auto DirectoryController::handle(Blackboard &board, const Event &event) -> void
{
    if (!this->started) {
        this->start(board);
    }
    std::visit(Overloaded { [&](const DirectoryRead &it) { this->on(board, it); },
                            [&](const DirectoryReadFailed &it) { this->on(board, it); },
                            [&](const DirectoryItemsFaulty &it) {
                                board.log(LogEvent::DirectoryRefused, "what=\"" + it.what + "\"");
                            },
                            [&](const PeerUp &it) { this->on(board, it); },
                            [&](const PeerMessage &it) { this->on(board, it); },
                            [&](const Tick &it) { this->on(board, it); },
                            [](const auto & /*other*/) {} },
               event);
}

auto DirectoryController::start(Blackboard &board) -> void
{
    this->started = true;
    ReadDirectory whole;
    whole.mayBeLate = true;
    this->read(board, whole);
}

auto DirectoryController::read(Blackboard &board, const ReadDirectory &action) -> void
{
    ++board.stats.platformReads;
    this->asked = true;
    this->givenUp = board.now.mono + action.wait + 2 * config::directoryReadMargin;
    board.act(action);
}

auto DirectoryController::on(Blackboard &board, const DirectoryRead &read) -> void
{
    this->asked = false;
    this->readsAll = false;
    this->backoff = Duration(0);
    this->platformAnswered(board);
    auto update = read.update;
    update.settlesIn = this->settlingTime(board);
    const auto hasChanges = board.directory.revision() < update.upTo;
    this->adopt(board, update, board.init.self.id);
    const Duration pause = hasChanges ? Duration(config::directoryGather) : Duration(0);
    this->nextRead = board.now.mono + pause;
}

auto DirectoryController::on(Blackboard &board, const DirectoryReadFailed &failed) -> void
{
    this->asked = false;
    ++board.stats.platformFailures;
    if (failed.failure == DirectoryFailure::Forgotten) {
        this->readsAll = true;
        this->nextRead = board.now.mono;
        board.log(LogEvent::PlatformLost, "why=\"" + failed.why + "\"");
        return;
    }
    if (!this->platformLost) {
        this->platformLost = true;
        board.log(LogEvent::PlatformLost, "why=\"" + failed.why + "\"");
    }
    this->backoff = std::clamp<Duration>(this->backoff * 2, config::directoryRetryMin,
                                         config::directoryRetryMax);
    this->nextRead = board.now.mono + jittered(board, this->backoff);
}

auto DirectoryController::on(Blackboard &board, const PeerUp &up) -> void
{
    auto *record = board.membership.record(up.member.id);
    if (record != nullptr) {
        record->directory = Revision(); // A new process may know nothing.
    }
}

auto DirectoryController::on(Blackboard &board, const PeerMessage &received) -> void
{
    if (const auto *gossip = gossipOf(received.message)) {
        this->noteGossip(board, received.from, *gossip);
        return;
    }
    if (const auto *request = std::get_if<DirectoryRequest>(&received.message)) {
        if (request->have < board.directory.revision()) {
            sendPeer(board, received.from,
                     board.directory.updateSince(request->have, board.now.mono));
        }
        return;
    }
    if (const auto *update = std::get_if<DirectoryUpdate>(&received.message)) {
        this->nextRequest = board.now.mono;
        if (auto *record = board.membership.record(received.from)) {
            record->directory = std::max(record->directory, update->upTo);
        }
        this->adopt(board, *update, received.from);
    }
}

auto DirectoryController::noteGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void
{
    auto *record = board.membership.record(from);
    if (record == nullptr) {
        return;
    }
    record->directory = gossip.directory;
    const auto now = board.now.mono;
    if (board.directory.revision() < gossip.directory && now >= this->nextRequest
        && sendPeer(board, from, DirectoryRequest { board.directory.revision() })) {
        this->nextRequest = now + config::directoryPeerTimeout;
    }
}

auto DirectoryController::on(Blackboard &board, const Tick & /*tick*/) -> void
{
    const auto now = board.now.mono;
    if (this->asked && now >= this->givenUp) {
        this->on(board, DirectoryReadFailed { DirectoryFailure::Unreachable, "no answer" });
    }
    logChanges(board, board.directory.settle(now));
    this->readIfDue(board);
}

auto DirectoryController::readIfDue(Blackboard &board) -> void
{
    const auto now = board.now.mono;
    if (this->asked || now < this->nextRead || board.stop.stopping) {
        return;
    }
    const auto reader = isReader(board);
    if (!reader && board.config.platformAge(now) <= config::directoryStale) {
        return;
    }
    ReadDirectory action;
    const auto isWhole = this->readsAll || !board.directory.revision().isValid();
    action.after = isWhole ? Revision() : board.directory.revision();
    action.mayBeLate = isWhole && !this->readsAll;
    action.wait = reader && !isWhole ? Duration(config::directoryWatchWait) : Duration(0);
    this->read(board, action);
}

auto DirectoryController::adopt(Blackboard &board, const DirectoryUpdate &update, HostId from)
        -> void
{
    if (!board.directory.canTake(update)) {
        return; // Changes before it are missing; gossip asks for them.
    }
    const auto changes = board.directory.take(update, board.now.mono);
    if (!changes.advanced) {
        return;
    }
    ++board.stats.directoryUpdates;
    logChanges(board, changes);
    if (!isPushedByZone(board, from)) {
        pushToZone(board, update, from);
    }
}

auto DirectoryController::platformAnswered(Blackboard &board) -> void
{
    board.config.notePlatform(board.now.mono);
    if (!this->platformLost) {
        return;
    }
    this->platformLost = false;
    this->everLost = true;
    this->platformBack = board.now.mono;
    board.log(LogEvent::PlatformBack,
              "directory=" + std::to_string(board.directory.revision().number));
}

auto DirectoryController::settlingTime(const Blackboard &board) const -> Duration
{
    if (!this->everLost) {
        return Duration(0);
    }
    const Duration left = this->platformBack + config::reappearTime - board.now.mono;
    return std::max(left, Duration(0));
}

} // namespace flamingograde
