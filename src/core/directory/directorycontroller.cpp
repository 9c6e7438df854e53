/// When to read the directory, what to ask of other hosts, and whom to tell.
#include "core/directory/directorycontroller.h"

#include "core/blackboard.h"
#include "core/directory/directorylog.h"
#include "core/directory/readerelection.h"
#include "core/membership/gossip.h"
#include "core/membership/ownzone.h"
#include "core/overlay/fleetsize.h"
#include "core/overlay/linkchoice.h"
#include "core/overloaded.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>
#include <vector>

namespace flamingograde {

namespace {

/// Returns a pause drawn from the upper half of `pause`, so that hosts do not read in step.
auto jittered(Blackboard &board, Duration pause) -> Duration
{
    std::uniform_int_distribution<Duration::rep> draw(pause.count() / 2, pause.count());
    return Duration(draw(board.random));
}

/// Sends hosts what they lack, if they are connected and not known to have it.
///
/// To the hosts that lack just `update` it goes as one message, encoded once: rows of 42 KB take
/// 0.6 ms to encode, and a hub sends them to 24 hosts.
auto push(Blackboard &board, const std::vector<HostId> &hosts, const DirectoryUpdate &update)
        -> void
{
    std::vector<HostId> behindByThis;
    for (const auto host : hosts) {
        auto *record = board.membership.record(host);
        if (record == nullptr || !record->connected || !(record->directory < update.upTo)) {
            continue;
        }
        if (!record->directory.isValid()) {
            continue; // Without a revision it reads or requests the whole directory itself.
        }
        if (record->directory < update.after) {
            sendPeer(board, host, board.directory.updateSince(record->directory, board.now.mono));
        } else {
            behindByThis.push_back(host);
        }
        record->directory = update.upTo;
    }
    sendPeers(board, std::move(behindByThis), update);
}

/// Tells the hosts of the zone, and one of each other, that this host's reads fail or no longer do.
auto tellReadsFail(Blackboard &board) -> void
{
    for (const auto &[id, record] : board.membership.records()) {
        if (record.connected && isInOwnZone(board, record)) {
            sendPeer(board, id, Ping { 0, makeGossip(board, id) });
        }
    }
    for (const auto host : directoryBridges(board)) {
        sendPeer(board, host, Ping { 0, makeGossip(board, host) });
    }
}

/// Returns for how long nothing newer may be heard before a host reads for itself.
///
/// Word of a read travels by gossip: each doubling of a zone's hosts takes another round.
auto staleAfter(const Blackboard &board) -> Duration
{
    const auto hosts = board.membership.candidates(board.init.self.zone).size();
    const auto rounds = std::ceil(std::log2(static_cast<double>(hosts) + 1));
    return config::directoryStale + config::probePeriod * static_cast<int>(rounds);
}

/// Returns for how long a host waits for changes to be pushed before it asks `newer` for them.
///
/// Guards against all hosts asking at once for what is on its way: a version of 1,100 rows is
/// 42 KB and takes 0.6 ms to encode and 1.3 ms to decode. With 87 hosts of a twentieth of a core
/// and a storm of versions, served requests rose from 0.88 to 0.99 of all.
auto patienceWith(const Blackboard &board, const MemberRecord &newer) -> Duration
{
    if (!isLargeFleet(board) || !board.directory.revision().isValid()) {
        return Duration(0);
    }
    return isInOwnZone(board, newer) ? Duration(config::directoryAskZone)
                                     : Duration(config::directoryAskFar);
}

} // namespace

auto DirectoryController::handle(Blackboard &board, const Event &event) -> void
{
    if (!this->started) {
        this->start(board);
    }
    std::visit(Overloaded { [&](const DirectoryRead &it) { this->on(board, it); },
                            [&](const DirectoryReadFailed &it) { this->on(board, it); },
                            [&](const DirectoryItemsFaulty &it) { this->on(board, it); },
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
    this->standIn.noteRead(true);
    this->backoff = Duration(0);
    this->platformAnswered(board);
    auto update = read.update;
    update.settlesIn = this->settlingTime(board);
    const auto hasChanges = board.directory.revision() < update.upTo;
    this->adopt(board, update, board.init.self.id);
    this->nextRead = board.now.mono;
    if (hasChanges) {
        const auto isRollout = board.now.mono - this->lastChange < 2 * config::directoryGather;
        this->nextRead += isRollout ? Duration(config::directoryGather) : Duration(0);
        this->lastChange = board.now.mono;
    }
}

auto DirectoryController::on(Blackboard &board, const DirectoryReadFailed &failed) -> void
{
    this->asked = false;
    ++board.stats.platformFailures;
    if (failed.failure == DirectoryFailure::Forgotten) {
        // The platform answers; it only lacks the history that was asked for.
        this->readsAll = true;
        this->nextRead = board.now.mono;
        board.log(LogEvent::PlatformLost, "why=\"" + failed.why + "\"");
        return;
    }
    this->standIn.noteRead(false);
    if (!std::exchange(board.directoryReadsFail, true)) {
        board.log(LogEvent::PlatformLost, "why=\"" + failed.why + "\"");
        tellReadsFail(board);
    }
    this->backoff = std::clamp<Duration>(this->backoff * 2, config::directoryRetryMin,
                                         config::directoryRetryMax);
    this->nextRead = board.now.mono + jittered(board, this->backoff);
}

auto DirectoryController::on(Blackboard &board, const DirectoryItemsFaulty &faulty) -> void
{
    board.stats.directoryFaults += faulty.count;
    // A host that reads everything again finds the same faults each time.
    if (std::exchange(this->lastFaults, faulty.what) != faulty.what) {
        board.log(LogEvent::DirectoryRefused,
                  "items=" + std::to_string(faulty.count) + " what=\"" + faulty.what + "\"");
    }
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
        this->noteRegained(board);
        auto believed = *update;
        believed.settlesIn = std::max(believed.settlesIn, this->settlingTime(board));
        this->adopt(board, believed, received.from);
    }
}

auto DirectoryController::noteRegained(Blackboard &board) -> void
{
    if (board.config.platformKnown
        && board.config.platformAge(board.now.mono) > config::directoryStale) {
        this->everLost = true;
        this->platformBack = board.now.mono;
    }
}

auto DirectoryController::noteGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void
{
    this->noteRegained(board);
    notePlatformAge(board, gossip);
    auto *record = board.membership.record(from);
    if (record == nullptr) {
        return;
    }
    record->directory = gossip.directory;
    record->readsFail = gossip.readsFail;
    if (board.directory.revision() < gossip.directory) {
        this->askIfDue(board, *record);
    }
}

auto DirectoryController::askIfDue(Blackboard &board, const MemberRecord &newer) -> void
{
    const auto now = board.now.mono;
    this->behindSince = this->behindSince.value_or(now);
    if (this->awaitsFirstRead(board, newer)) {
        return;
    }
    if (now < this->nextRequest || now - *this->behindSince < patienceWith(board, newer)) {
        return;
    }
    if (sendPeer(board, newer.member.id, DirectoryRequest { board.directory.revision() })) {
        this->nextRequest = now + config::directoryPeerTimeout;
    }
}

auto DirectoryController::awaitsFirstRead(const Blackboard &board, const MemberRecord &newer) const
        -> bool
{
    if (!this->asked || board.directory.revision().isValid()) {
        return false;
    }
    const auto isWithinWait =
            board.now.mono - board.membership.startedAt < config::directoryFirstReadWait;
    return isWithinWait || !isInOwnZone(board, newer);
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

auto DirectoryController::isReadDue(Blackboard &board) -> bool
{
    if (board.directory.revision().isValid()) {
        if (board.now.mono - board.membership.startedAt < config::directoryMeetTime) {
            return false;
        }
        if (StandIn::hasHub(board)) {
            return this->standIn.isDue(board, staleAfter(board));
        }
    }
    const auto now = board.now.mono;
    const auto recheck = board.directoryReadsFail && now >= this->nextRecheck;
    return isDirectoryReader(board) || recheck || StandIn::isTakeover(board)
           || board.config.platformAge(now) > staleAfter(board);
}

auto DirectoryController::readIfDue(Blackboard &board) -> void
{
    const auto now = board.now.mono;
    if (this->asked || now < this->nextRead || board.stop.stopping) {
        return;
    }
    if (!this->isReadDue(board)) {
        return;
    }
    const auto reader = isDirectoryReader(board);
    this->nextRecheck = now + config::directoryRecheck;
    ReadDirectory action;
    const auto isWhole = this->readsAll || !board.directory.revision().isValid();
    action.after = isWhole ? Revision() : board.directory.revision();
    action.mayBeLate = isWhole && !this->readsAll;
    // Where nobody was heard to read, whether the platform answers is to be known soon.
    const auto isHeard = board.config.platformAge(now) <= config::directorySilence;
    action.wait =
            reader && !isWhole && isHeard ? Duration(config::directoryWatchWait) : Duration(0);
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
    this->behindSince.reset();
    ++board.stats.directoryUpdates;
    board.stats.upstreamRestarts += changes.restarted.size();
    logChanges(board, changes);
    push(board, spreadTargets(board, from), update);
    if (from == board.membership.self) {
        push(board, directoryBridges(board), update);
    }
}

auto DirectoryController::platformAnswered(Blackboard &board) -> void
{
    const auto wasSilent = board.config.platformKnown
                           && board.config.platformAge(board.now.mono) > config::directorySilence;
    board.config.notePlatform(board.now.mono);
    const auto failed = std::exchange(board.directoryReadsFail, false);
    if (failed || wasSilent) {
        this->everLost = true;
        this->platformBack = board.now.mono;
    }
    if (!failed) {
        return;
    }
    tellReadsFail(board);
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
