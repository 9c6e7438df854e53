/// Schedules directory reads, requests to other hosts and pushes of changes.
#include "core/directory/directorycontroller.h"

#include "core/blackboard.h"
#include "core/directory/directoryepoch.h"
#include "core/directory/directorylog.h"
#include "core/directory/directoryspread.h"
#include "core/directory/readerelection.h"
#include "core/membership/gossip.h"
#include "core/membership/messageclock.h"
#include "core/membership/ownzone.h"
#include "core/milliseconds.h"
#include "core/overlay/linkchoice.h"
#include "core/overloaded.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace flamingograde {

namespace {

/// Returns a random duration between half of `pause` and `pause`, so that hosts do not retry at
/// the same time.
auto jittered(Blackboard &board, Duration pause) -> Duration
{
    std::uniform_int_distribution<Duration::rep> draw(pause.count() / 2, pause.count());
    return Duration(draw(board.random));
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

auto logLost(Blackboard &board, const DirectoryReadFailed &failed) -> void
{
    board.log(LogEvent::PlatformLost, "why=\"" + failed.why + "\" directory="
                                              + std::to_string(board.directory.revision().number));
}

/// Returns the age of the last known successful read at which a host without a directory reads the
/// platform, although another host offers it.
///
/// News of a read spreads by gossip, which takes one more round for each doubling of a zone's
/// hosts.
auto staleAfter(const Blackboard &board) -> Duration
{
    const auto hosts = board.membership.candidates(board.init.self.zone).size();
    const auto rounds = std::ceil(std::log2(static_cast<double>(hosts) + 1));
    return config::directoryStale + config::probePeriod * static_cast<int>(rounds);
}

/// Returns how long the platform is asked to hold a watch: until the directory is a whole watch
/// old, so that its age is renewed as often when changes come as when none do. A directory that is
/// older is read at once.
auto watchWait(const Blackboard &board) -> Duration
{
    const auto left = config::directoryWatchWait - board.freshness.age(board.now.mono);
    return std::max(Duration(left), Duration(0));
}

/// Returns whether a host without a directory can expect it from another one: a connected host has
/// it, or the platform has answered some host recently, which is reading it.
auto isDirectoryExpected(const Blackboard &board) -> bool
{
    const auto &records = board.membership.records();
    const auto isOffered = std::any_of(records.begin(), records.end(), [](const auto &entry) {
        return entry.second.connected && entry.second.directory.isValid();
    });
    return isOffered || board.config.platformAge(board.now.mono) <= config::directorySilence;
}

} // namespace

auto DirectoryController::handle(Blackboard &board, const Event &event) -> void
{
    if (!this->started) {
        this->start(board);
    } else if (this->resumedAt != board.membership.resumedAt) {
        this->resume(board);
    }
    std::visit(
            Overloaded { [&](const DirectoryRead &it) { this->on(board, it); },
                         [&](const DirectoryPageRead &it) { this->on(board, it); },
                         [&](const DirectoryReadProgress &it) { this->on(board, it); },
                         [&](const DirectoryReadFailed &it) { this->on(board, it); },
                         [&](const DirectoryItemsFaulty &it) { this->faults.noteItems(board, it); },
                         [&](const PeerUp &it) { this->on(board, it); },
                         [&](const PeerMessage &it) { this->on(board, it); },
                         [&](const Tick &it) { this->on(board, it); },
                         [](const auto & /*other*/) {} },
            event);
}

auto DirectoryController::start(Blackboard &board) -> void
{
    this->started = true;
    this->resumedAt = board.membership.resumedAt;
    board.freshness.begin(board.now.mono, board.now.mono - config::directoryAgeLimit);
    this->confirmation.begin(board.now.mono, config::directoryConfirmDelay);
    ReadDirectory whole;
    whole.mayBeStale = true;
    this->read(board, whole);
}

auto DirectoryController::resume(Blackboard &board) -> void
{
    this->resumedAt = board.membership.resumedAt;
    board.freshness.begin(board.now.mono, board.now.mono);
    // An answer that arrived during the pause is handled before the next tick.
    this->confirmation.begin(board.now.mono, config::tickPeriod);
    if (this->call.after().isValid()) {
        this->call.end(); // The answer to a watch from before would show too little.
    }
}

auto DirectoryController::read(Blackboard &board, const ReadDirectory &action) -> void
{
    ++board.stats.platformReads;
    this->call.begin(action, board.now.mono);
    if (!action.after.isValid()) {
        this->throttle.begin();
    }
    board.addAction(action);
}

auto DirectoryController::on(Blackboard &board, const DirectoryRead &read) -> void
{
    const auto completeUntil = this->call.completeUntil(read, board.now.mono);
    this->call.end();
    if (read.update.isWhole()) {
        this->call.forgetPages();
    }
    this->needsFullRead = false;
    this->fallbackReader.noteRead(true);
    this->platformAnswered(board);
    if (read.update.isWhole() && board.directory.isNewerThan(read.update)) {
        // A host without a directory reads again, but not from a replica that may be old.
        this->needsFullRead = !board.directory.revision().isValid();
        this->faults.noteOldRead(board, read.update.upTo);
        this->pauseReads(board);
        return;
    }
    if (!read.update.isWhole() && read.update.upTo.epoch != read.update.after.epoch) {
        this->readWholeNext(board); // These are no changes since this host's revision.
        return;
    }
    this->backoff = Duration(0);
    auto update = read.update;
    this->noteRestore(board, update);
    update.removalsDeferredFor = this->removalDelay(board);
    const auto hasChanges = board.directory.revision() < update.upTo;
    this->applyUpdate(board, update, board.init.self.id);
    if (completeUntil) {
        board.freshness.noteRead(*completeUntil);
        this->noteFreshness(board, board.init.self.id);
    }
    this->nextRead = board.now.mono;
    if (hasChanges) {
        const auto isRollout = board.now.mono - this->lastChange < 2 * config::rolloutReadPause;
        this->nextRead += isRollout ? Duration(config::rolloutReadPause) : Duration(0);
        this->lastChange = board.now.mono;
    }
}

auto DirectoryController::on(Blackboard &board, const DirectoryPageRead &read) -> void
{
    if (!this->call.isPending()) {
        return; // The read was stopped.
    }
    this->call.extend(board.now.mono);
    this->throttle.notePage();
    this->platformAnswered(board);
    this->applyPart(board, read.page);
}

auto DirectoryController::on(Blackboard &board, const DirectoryReadProgress &progress) -> void
{
    this->call.extend(board.now.mono);
    this->throttle.noteProgress(progress.received, progress.size, board.now.mono);
}

auto DirectoryController::on(Blackboard &board, const DirectoryReadFailed &failed) -> void
{
    this->call.end();
    ++board.stats.platformFailures;
    if (failed.failure == DirectoryFailure::Forgotten) {
        // The platform answers, but no longer keeps the requested history.
        this->readWholeNext(board);
        logLost(board, failed);
        return;
    }
    this->fallbackReader.noteRead(false);
    if (!std::exchange(board.directoryReadsFail, true)) {
        logLost(board, failed);
        sendReadStatus(board);
    }
    this->pauseReads(board);
}

auto DirectoryController::pauseReads(Blackboard &board) -> void
{
    this->backoff = std::clamp<Duration>(this->backoff * 2, config::directoryRetryMin,
                                         config::directoryRetryMax);
    this->nextRead = board.now.mono + jittered(board, this->backoff);
}

auto DirectoryController::readWholeNext(Blackboard &board) -> void
{
    // Another host may have sent this one the directory of a later epoch meanwhile.
    const auto isOvertaken = this->call.after().isValid()
                             && this->call.after().epoch < board.directory.currentEpoch();
    this->needsFullRead = !isOvertaken;
    this->nextRead = board.now.mono;
}

auto DirectoryController::noteRestore(Blackboard &board, const DirectoryUpdate &update) -> void
{
    if (!board.directory.beginsEpoch(update)) {
        return;
    }
    board.freshness.noteOutageEnd(board.now.mono);
    if (board.directory.currentEpoch() == 0) {
        return; // Got from a host that names no epoch: this need be no restore.
    }
    this->hasSeenRestore = true;
    board.log(LogEvent::PlatformRestored,
              "epoch=" + std::to_string(update.upTo.epoch)
                      + " read=" + std::to_string(update.upTo.number)
                      + " directory=" + std::to_string(board.directory.revision().number));
}

auto DirectoryController::on(Blackboard &board, const PeerUp &up) -> void
{
    auto *record = board.membership.record(up.member.id);
    if (record != nullptr) {
        record->directory = Revision(); // A new process may have no directory yet.
        record->hasCurrentDirectory = false;
    }
}

auto DirectoryController::on(Blackboard &board, const PeerMessage &received) -> void
{
    if (const auto *gossip = gossipOf(received.message)) {
        this->noteGossip(board, received.from, *gossip);
        this->takeReport(board, received);
        return;
    }
    if (const auto *request = std::get_if<DirectoryRequest>(&received.message)) {
        this->answer(board, received.from, *request);
        return;
    }
    if (const auto *page = std::get_if<DirectoryPage>(&received.message)) {
        if (!this->isUnnamedEpoch(page->update.upTo)) {
            this->takePage(board, received.from, *page);
            return;
        }
        auto named = *page;
        named.update = inEpoch(std::move(named.update), board.directory.currentEpoch());
        this->takePage(board, received.from, named);
        return;
    }
    if (const auto *update = std::get_if<DirectoryUpdate>(&received.message)) {
        this->takeUpdate(board, received.from, *update);
    }
}

auto DirectoryController::takeUpdate(Blackboard &board, HostId from, DirectoryUpdate update) -> void
{
    this->faults.noteUnreadable(board, from, update);
    if (this->isUnnamedEpoch(update.upTo)) {
        update = inEpoch(std::move(update), board.directory.currentEpoch());
    }
    this->requester.noteAnswer(board.now.mono);
    if (auto *record = board.membership.record(from)) {
        record->directory = std::max(record->directory, update.upTo);
    }
    this->noteContactRegained(board);
    this->noteRestore(board, update);
    update.removalsDeferredFor = std::max(update.removalsDeferredFor, this->removalDelay(board));
    this->applyUpdate(board, update, from);
}

auto DirectoryController::isUnnamedEpoch(Revision revision) const -> bool
{
    return revision.isValid() && revision.epoch == 0 && !this->hasSeenRestore;
}

auto DirectoryController::withEpoch(const Blackboard &board, Revision revision) const -> Revision
{
    const auto epoch =
            this->isUnnamedEpoch(revision) ? board.directory.currentEpoch() : revision.epoch;
    return { revision.number, epoch };
}

auto DirectoryController::answer(Blackboard &board, HostId from, const DirectoryRequest &request)
        -> void
{
    if (request.position && board.directory.hasPart()) {
        this->pageServer.request(board, from, *request.position);
        return;
    }
    const auto have = this->withEpoch(board, request.have);
    if (!(have < board.directory.revision())) {
        return;
    }
    if (request.position && !board.directory.hasChangesSince(have)) {
        this->pageServer.request(board, from, *request.position);
        return;
    }
    sendPeer(board, from, board.directory.updateSince(have, board.now.mono));
}

auto DirectoryController::takePage(Blackboard &board, HostId from, const DirectoryPage &page)
        -> void
{
    this->faults.noteUnreadable(board, from, page.update);
    this->noteContactRegained(board);
    if (page.isPart) {
        this->requester.noteAnswer(board.now.mono);
        this->applyPart(board, page.update);
        return;
    }
    auto whole = this->requester.take(board, from, page);
    if (!whole) {
        this->applyPart(board, page.update);
        return;
    }
    this->noteRestore(board, *whole);
    whole->removalsDeferredFor = this->removalDelay(board);
    if (auto *record = board.membership.record(from)) {
        record->directory = std::max(record->directory, whole->upTo);
    }
    this->applyUpdate(board, *whole, from);
}

auto DirectoryController::applyPart(Blackboard &board, const DirectoryUpdate &page) -> void
{
    if (board.directory.revision().isValid()) {
        return; // The whole directory replaces the present one when it is complete.
    }
    const auto hadPart = board.directory.hasPart();
    logChanges(board, board.directory.applyPage(page, board.now.mono));
    if (!hadPart && board.directory.hasPart()) {
        announceDirectory(board);
    }
}

auto DirectoryController::noteContactRegained(Blackboard &board) -> void
{
    if (board.config.platformKnown
        && board.config.platformAge(board.now.mono) > config::directoryStale) {
        board.freshness.noteOutageEnd(board.now.mono);
    }
}

auto DirectoryController::noteGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void
{
    const auto has = this->withEpoch(board, gossip.directory);
    this->noteContactRegained(board);
    if (!has.isValid() || has.epoch >= board.directory.currentEpoch()) {
        notePlatformAge(board, gossip); // One of an earlier epoch brings this host no changes.
    }
    auto *record = board.membership.record(from);
    if (record == nullptr) {
        return;
    }
    record->directory = has;
    record->readsFail = gossip.readsFail;
    record->hasCurrentDirectory = gossip.directoryAgeMs.has_value();
    if (board.directory.revision() < record->directory) {
        this->requester.requestIfDue(board, *record, this->call.isPending());
    } else if (gossip.hasPart) {
        this->requester.requestPartIfDue(board, *record);
    }
}

auto DirectoryController::takeReport(Blackboard &board, const PeerMessage &received) -> void
{
    const auto &gossip = *gossipOf(received.message);
    const auto has = this->withEpoch(board, gossip.directory);
    const auto made = madeNotBefore(board, received.message);
    if (!made || !gossip.directoryAgeMs || !has.isValid()
        || has.epoch < board.directory.currentEpoch()) {
        return;
    }
    const Duration age = std::chrono::milliseconds(*gossip.directoryAgeMs);
    board.freshness.noteHost(has, *made - age);
    this->noteFreshness(board, received.from);
}

auto DirectoryController::noteFreshness(Blackboard &board, HostId from) -> void
{
    const auto since = board.freshness.since();
    board.freshness.advance(board.directory.revision());
    this->freshnessSpreader.spread(board, from);
    if (!board.freshness.isConfirmed() || this->confirmedSince == since) {
        return;
    }
    this->confirmedSince = since;
    logConfirmed(board);
    announceFreshness(board);
}

auto DirectoryController::on(Blackboard &board, const Tick & /*tick*/) -> void
{
    const auto now = board.now.mono;
    if (this->call.isTimedOut(now)) {
        this->on(board,
                 DirectoryReadFailed { DirectoryFailure::Unreachable, "directory read timed out" });
    }
    logChanges(board, board.directory.processRemovals(now));
    this->pageServer.tick(board);
    if (!board.directory.revision().isValid() || this->requester.isReceiving()) {
        this->requester.tick(board);
    }
    if (!board.directory.revision().isValid()) {
        this->yieldIfDue(board);
    }
    this->readIfDue(board);
}

auto DirectoryController::yieldIfDue(Blackboard &board) -> void
{
    if (!this->call.isPending() || !this->throttle.isYieldDue(board)) {
        return;
    }
    this->call.end();
    board.addAction(StopReadingDirectory { true });
    const auto pause = this->throttle.yield();
    this->nextRead = board.now.mono + jittered(board, pause);
    board.log(LogEvent::ReadStopped, "why=\"the platform's answers arrive slowly\" listed="
                                             + std::to_string(board.directory.listedCount())
                                             + " pause_ms=" + std::to_string(milliseconds(pause)));
}

auto DirectoryController::isReadDue(Blackboard &board) -> bool
{
    const auto now = board.now.mono;
    const auto isRecheckDue = board.directoryReadsFail && now >= this->nextRecheck;
    if (!board.directory.revision().isValid()) {
        const auto isWanted = !isDirectoryExpected(board) || isRecheckDue
                              || isDirectoryReader(board)
                              || board.config.platformAge(now) > staleAfter(board);
        return isWanted && !board.stop.stopping;
    }
    if (!board.freshness.isCurrent(now)) {
        return this->confirmation.isDue(board);
    }
    if (this->fallbackReader.isDue(board)) {
        return true;
    }
    if (board.stop.stopping || now - board.membership.startedAt < config::directoryStartGrace) {
        return false;
    }
    if (FallbackReader::hasHub(board)) {
        return this->fallbackReader.isElected(board);
    }
    return isRecheckDue || isDirectoryReader(board);
}

auto DirectoryController::readIfDue(Blackboard &board) -> void
{
    const auto now = board.now.mono;
    if (this->call.isPending() || now < this->nextRead || !this->isReadDue(board)) {
        return;
    }
    this->nextRecheck = now + config::directoryRecheck;
    ReadDirectory action;
    const auto isWhole = this->needsFullRead || !board.directory.revision().isValid();
    action.after = isWhole ? Revision() : board.directory.revision();
    action.mayBeStale = isWhole && !this->needsFullRead;
    const auto isWatch = !isWhole && board.freshness.isConfirmed() && isDirectoryReader(board);
    action.wait = isWatch ? watchWait(board) : Duration(0);
    this->read(board, action);
}

auto DirectoryController::applyUpdate(Blackboard &board, const DirectoryUpdate &update, HostId from)
        -> void
{
    if (!board.directory.canApply(update)) {
        return; // Earlier changes are missing; the next gossip triggers a request for them.
    }
    const auto isFirst = !board.directory.revision().isValid();
    const auto beginsEpoch = board.directory.beginsEpoch(update);
    const auto changes = board.directory.apply(update, board.now.mono);
    if (!changes.advanced) {
        return;
    }
    this->requester.noteAdvanced();
    this->noteFreshness(board, from);
    ++board.stats.directoryUpdates;
    board.stats.upstreamRestarts += changes.restarted.size();
    logChanges(board, changes);
    if (isFirst) {
        this->loaded(board, from);
    }
    if (update.isWhole() || from == board.membership.self) {
        this->requester.endTransfer();
    }
    if (beginsEpoch) {
        announceDirectory(board);
    }
    sendChanges(board, forwardTargets(board, from), update);
    if (from == board.membership.self) {
        sendChanges(board, crossZoneRecipients(board), update);
    }
}

auto DirectoryController::loaded(Blackboard &board, HostId from) -> void
{
    logLoaded(board, from);
    announceDirectory(board);
    this->call.end();
    this->call.forgetPages();
    board.addAction(StopReadingDirectory { false });
}

auto DirectoryController::platformAnswered(Blackboard &board) -> void
{
    const auto wasSilent = board.config.platformKnown
                           && board.config.platformAge(board.now.mono) > config::directorySilence;
    board.config.notePlatform(board.now.mono);
    const auto failed = std::exchange(board.directoryReadsFail, false);
    if (failed || wasSilent) {
        board.freshness.noteOutageEnd(board.now.mono);
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
    const auto outageEnd = board.freshness.lastOutageEnd();
    if (!outageEnd) {
        return Duration(0);
    }
    const Duration left = *outageEnd + board.directory.reappearTime() - board.now.mono;
    return std::max(left, Duration(0));
}

} // namespace flamingograde
