/// Schedules directory reads, requests to other hosts and pushes of changes.
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

/// Returns a random duration between half of `pause` and `pause`, so that hosts do not retry at
/// the same time.
auto jittered(Blackboard &board, Duration pause) -> Duration
{
    std::uniform_int_distribution<Duration::rep> draw(pause.count() / 2, pause.count());
    return Duration(draw(board.random));
}

/// Sends changes to the connected hosts that are not known to have them.
///
/// Hosts that lack only `update` receive it as one message that is encoded once: rows of 42 KB take
/// 0.6 ms to encode, and a hub sends them to 24 hosts.
auto push(Blackboard &board, const std::vector<HostId> &hosts, const DirectoryUpdate &update)
        -> void
{
    std::vector<HostId> recipients;
    for (const auto host : hosts) {
        auto *record = board.membership.record(host);
        if (record == nullptr || !record->connected || !(record->directory < update.upTo)) {
            continue;
        }
        if (!record->directory.isValid()) {
            continue; // A host without a revision reads or requests the whole directory itself.
        }
        if (record->directory < update.after) {
            sendPeer(board, host, board.directory.updateSince(record->directory, board.now.mono));
        } else {
            recipients.push_back(host);
        }
        record->directory = update.upTo;
    }
    sendPeers(board, std::move(recipients), update);
}

/// Sends the connected hosts of the zone, and one host of each other zone, whether this host's
/// reads fail.
auto sendReadStatus(Blackboard &board) -> void
{
    for (const auto &[id, record] : board.membership.records()) {
        if (record.connected && isInOwnZone(board, record)) {
            sendPeer(board, id, Ping { 0, makeGossip(board, id) });
        }
    }
    for (const auto host : crossZoneRecipients(board)) {
        sendPeer(board, host, Ping { 0, makeGossip(board, host) });
    }
}

/// Returns the age of the last known successful read at which a host reads the platform itself.
///
/// News of a read spreads by gossip, which takes one more round for each doubling of a zone's
/// hosts.
auto staleAfter(const Blackboard &board) -> Duration
{
    const auto hosts = board.membership.candidates(board.init.self.zone).size();
    const auto rounds = std::ceil(std::log2(static_cast<double>(hosts) + 1));
    return config::directoryStale + config::probePeriod * static_cast<int>(rounds);
}

/// Returns how long a host waits for changes to be pushed before it requests them from `newer`.
///
/// Prevents all hosts from requesting changes that are already being pushed: a version of 1,100
/// rows is 42 KB and takes 0.6 ms to encode and 1.3 ms to decode. On 87 hosts with a twentieth of a
/// core each and frequent new versions, the wait raised the share of served requests from 0.88 to
/// 0.99.
auto requestDelay(const Blackboard &board, const MemberRecord &newer) -> Duration
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
    whole.mayBeStale = true;
    this->read(board, whole);
}

auto DirectoryController::read(Blackboard &board, const ReadDirectory &action) -> void
{
    ++board.stats.platformReads;
    this->readPending = true;
    this->readDeadline = board.now.mono + action.wait + 2 * config::directoryReadMargin;
    board.addAction(action);
}

auto DirectoryController::on(Blackboard &board, const DirectoryRead &read) -> void
{
    this->readPending = false;
    this->needsFullRead = false;
    this->fallbackReader.noteRead(true);
    this->backoff = Duration(0);
    this->platformAnswered(board);
    auto update = read.update;
    update.removalsDeferredFor = this->removalDelay(board);
    const auto hasChanges = board.directory.revision() < update.upTo;
    this->applyUpdate(board, update, board.init.self.id);
    this->nextRead = board.now.mono;
    if (hasChanges) {
        const auto isRollout = board.now.mono - this->lastChange < 2 * config::rolloutReadPause;
        this->nextRead += isRollout ? Duration(config::rolloutReadPause) : Duration(0);
        this->lastChange = board.now.mono;
    }
}

auto DirectoryController::on(Blackboard &board, const DirectoryReadFailed &failed) -> void
{
    this->readPending = false;
    ++board.stats.platformFailures;
    if (failed.failure == DirectoryFailure::Forgotten) {
        // The platform answers, but no longer keeps the requested history.
        this->needsFullRead = true;
        this->nextRead = board.now.mono;
        board.log(LogEvent::PlatformLost, "why=\"" + failed.why + "\"");
        return;
    }
    this->fallbackReader.noteRead(false);
    if (!std::exchange(board.directoryReadsFail, true)) {
        board.log(LogEvent::PlatformLost, "why=\"" + failed.why + "\"");
        sendReadStatus(board);
    }
    this->backoff = std::clamp<Duration>(this->backoff * 2, config::directoryRetryMin,
                                         config::directoryRetryMax);
    this->nextRead = board.now.mono + jittered(board, this->backoff);
}

auto DirectoryController::on(Blackboard &board, const DirectoryItemsFaulty &faulty) -> void
{
    board.stats.directoryFaults += faulty.count;
    // Repeated full reads find the same faults; log them only when they change.
    if (std::exchange(this->lastFaults, faulty.what) != faulty.what) {
        board.log(LogEvent::DirectoryRefused,
                  "items=" + std::to_string(faulty.count) + " what=\"" + faulty.what + "\"");
    }
}

auto DirectoryController::on(Blackboard &board, const PeerUp &up) -> void
{
    auto *record = board.membership.record(up.member.id);
    if (record != nullptr) {
        record->directory = Revision(); // A new process may have no directory yet.
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
        this->noteContactRegained(board);
        auto accepted = *update;
        accepted.removalsDeferredFor =
                std::max(accepted.removalsDeferredFor, this->removalDelay(board));
        this->applyUpdate(board, accepted, received.from);
    }
}

auto DirectoryController::noteContactRegained(Blackboard &board) -> void
{
    if (board.config.platformKnown
        && board.config.platformAge(board.now.mono) > config::directoryStale) {
        this->hadOutage = true;
        this->platformRegainedAt = board.now.mono;
    }
}

auto DirectoryController::noteGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void
{
    this->noteContactRegained(board);
    notePlatformAge(board, gossip);
    auto *record = board.membership.record(from);
    if (record == nullptr) {
        return;
    }
    record->directory = gossip.directory;
    record->readsFail = gossip.readsFail;
    if (board.directory.revision() < gossip.directory) {
        this->requestIfDue(board, *record);
    }
}

auto DirectoryController::requestIfDue(Blackboard &board, const MemberRecord &newer) -> void
{
    const auto now = board.now.mono;
    this->behindSince = this->behindSince.value_or(now);
    if (this->awaitsFirstRead(board, newer)) {
        return;
    }
    if (now < this->nextRequest || now - *this->behindSince < requestDelay(board, newer)) {
        return;
    }
    if (sendPeer(board, newer.member.id, DirectoryRequest { board.directory.revision() })) {
        this->nextRequest = now + config::directoryPeerTimeout;
    }
}

auto DirectoryController::awaitsFirstRead(const Blackboard &board, const MemberRecord &newer) const
        -> bool
{
    if (!this->readPending || board.directory.revision().isValid()) {
        return false;
    }
    const auto isWithinWait =
            board.now.mono - board.membership.startedAt < config::directoryFirstReadWait;
    return isWithinWait || !isInOwnZone(board, newer);
}

auto DirectoryController::on(Blackboard &board, const Tick & /*tick*/) -> void
{
    const auto now = board.now.mono;
    if (this->readPending && now >= this->readDeadline) {
        this->on(board,
                 DirectoryReadFailed { DirectoryFailure::Unreachable, "directory read timed out" });
    }
    logChanges(board, board.directory.processRemovals(now));
    this->readIfDue(board);
}

auto DirectoryController::isReadDue(Blackboard &board) -> bool
{
    if (board.directory.revision().isValid()) {
        if (board.now.mono - board.membership.startedAt < config::directoryStartGrace) {
            return false;
        }
        if (FallbackReader::hasHub(board)) {
            return this->fallbackReader.isDue(board, staleAfter(board));
        }
    }
    const auto now = board.now.mono;
    const auto recheck = board.directoryReadsFail && now >= this->nextRecheck;
    return isDirectoryReader(board) || recheck || FallbackReader::isHubTakeover(board)
           || board.config.platformAge(now) > staleAfter(board);
}

auto DirectoryController::readIfDue(Blackboard &board) -> void
{
    const auto now = board.now.mono;
    if (this->readPending || now < this->nextRead || board.stop.stopping) {
        return;
    }
    if (!this->isReadDue(board)) {
        return;
    }
    const auto reader = isDirectoryReader(board);
    this->nextRecheck = now + config::directoryRecheck;
    ReadDirectory action;
    const auto isWhole = this->needsFullRead || !board.directory.revision().isValid();
    action.after = isWhole ? Revision() : board.directory.revision();
    action.mayBeStale = isWhole && !this->needsFullRead;
    // If no recent successful read is known, read without waiting for changes, so as to find out
    // soon whether the platform answers.
    const auto isRecentlyRead = board.config.platformAge(now) <= config::directorySilence;
    action.wait = reader && !isWhole && isRecentlyRead ? Duration(config::directoryWatchWait)
                                                       : Duration(0);
    this->read(board, action);
}

auto DirectoryController::applyUpdate(Blackboard &board, const DirectoryUpdate &update, HostId from)
        -> void
{
    if (!board.directory.canApply(update)) {
        return; // Earlier changes are missing; the next gossip triggers a request for them.
    }
    const auto changes = board.directory.apply(update, board.now.mono);
    if (!changes.advanced) {
        return;
    }
    this->behindSince.reset();
    ++board.stats.directoryUpdates;
    board.stats.upstreamRestarts += changes.restarted.size();
    logChanges(board, changes);
    push(board, forwardTargets(board, from), update);
    if (from == board.membership.self) {
        push(board, crossZoneRecipients(board), update);
    }
}

auto DirectoryController::platformAnswered(Blackboard &board) -> void
{
    const auto wasSilent = board.config.platformKnown
                           && board.config.platformAge(board.now.mono) > config::directorySilence;
    board.config.notePlatform(board.now.mono);
    const auto failed = std::exchange(board.directoryReadsFail, false);
    if (failed || wasSilent) {
        this->hadOutage = true;
        this->platformRegainedAt = board.now.mono;
    }
    if (!failed) {
        return;
    }
    sendReadStatus(board);
    board.log(LogEvent::PlatformBack,
              "directory=" + std::to_string(board.directory.revision().number));
}

auto DirectoryController::removalDelay(const Blackboard &board) const -> Duration
{
    if (!this->hadOutage) {
        return Duration(0);
    }
    const Duration left = this->platformRegainedAt + config::reappearTime - board.now.mono;
    return std::max(left, Duration(0));
}

} // namespace flamingograde
