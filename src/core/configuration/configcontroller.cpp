/// Decides when to read the platform, what to request from other hosts, and which table to accept.
#include "core/configuration/configcontroller.h"

#include "core/blackboard.h"
#include "core/configuration/tableadoption.h"
#include "core/configuration/tableannouncement.h"
#include "core/membership/gossip.h"
#include "core/overloaded.h"
#include "core/rendezvous.h"

#include <flamingograde/tableparser.h>

#include <algorithm>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration readTimeoutMargin = 5s;  ///< Time limit of a read after its long-poll wait.
constexpr Duration platformStale = 3s;      ///< A host with older news of the platform reads it.
constexpr Duration peerRequestTimeout = 1s; ///< Longest wait for a table from another host.
constexpr Duration placementRequestPeriod = 500ms; ///< Shortest time between placement requests.
constexpr Duration startupHostListPeriod = 500ms;  ///< Used until the host list names this host.
constexpr Duration startupPeriod = 10s; ///< Host age up to which `startupHostListPeriod` is used.

/// Rendezvous key by which the platform readers of a zone are elected.
const auto readerKey = hashName("platform reader");

/// Returns whether this host is one of the platform readers of its zone.
auto isReader(const Blackboard &board) -> bool
{
    const auto self = board.init.self.id;
    const auto ownScore = rendezvousScore(readerKey, { self.value() });
    std::size_t better = 0;
    for (const auto host : board.membership.candidates(board.init.self.zone)) {
        if (host != self && rendezvousScore(readerKey, { host.value() }) > ownScore) {
            ++better;
        }
    }
    return better < config::readersPerZone;
}

/// Returns a random duration between half of `pause` and `pause`.
auto jittered(Blackboard &board, Duration pause) -> Duration
{
    std::uniform_int_distribution<Duration::rep> draw(pause.count() / 2, pause.count());
    return Duration(draw(board.random));
}

/// Returns the pause after a further read that failed or gave no newer table.
auto nextBackoff(Duration backoff) -> Duration
{
    return std::clamp<Duration>(backoff * 2, config::platformRetryMin, config::platformRetryMax);
}

/// Sends a host the placements of keys, and the table's text if its revision `have` is older; sends
/// nothing if it is newer.
auto sendTable(Blackboard &board, HostId host, Revision have) -> void
{
    const auto &config = board.config;
    if (config.revision.isValid() && !(config.revision < have)) {
        const auto text = have == config.revision ? std::string() : config.text;
        sendPeer(
                board, host,
                TableBody { config.revision, text, config.published, config.placements.entries() });
    }
}

} // namespace

auto ConfigController::handle(Blackboard &board, const Event &event) -> void
{
    if (!this->started) {
        this->started = true;
        this->readTable(board, 0ms);
        this->readHosts(board);
    }
    std::visit(Overloaded { [&](const TableFetched &it) { this->on(board, it); },
                            [&](const TableUnchanged &it) { this->on(board, it); },
                            [&](const HostsFetched &it) { this->on(board, it); },
                            [&](const PlatformFailed &it) { this->on(board, it); },
                            [&](const PeerMessage &it) { this->on(board, it); },
                            [&](const Tick &it) { this->on(board, it); },
                            [](const auto & /*other*/) {} },
               event);
}

auto ConfigController::on(Blackboard &board, const TableFetched &fetched) -> void
{
    this->isTableReadPending = false;
    this->notePlatformAnswer(board);
    const auto newest = this->newestKnown(board);
    const auto published = fetched.published.value_or(board.now.wall);
    this->considerTable(board, { fetched.revision, fetched.text, published });
    const auto isNotNewer = !(newest < fetched.revision);
    this->backoff = isNotNewer ? nextBackoff(this->backoff) : 0ms;
    this->nextTableRead = board.now.mono + jittered(board, this->backoff);
}

auto ConfigController::on(Blackboard &board, const TableUnchanged & /*unchanged*/) -> void
{
    this->isTableReadPending = false;
    this->notePlatformAnswer(board);
    this->backoff = 0ms;
    this->nextTableRead = board.now.mono + jittered(board, config::platformRetryMin);
}

auto ConfigController::on(Blackboard &board, const HostsFetched & /*fetched*/) -> void
{
    this->isHostReadPending = false;
    this->notePlatformAnswer(board);
}

auto ConfigController::on(Blackboard &board, const PlatformFailed &failed) -> void
{
    ++board.stats.platformFailures;
    if (!this->platformLost) {
        this->platformLost = true;
        board.log(LogEvent::PlatformLost, "why=\"" + failed.why + "\"");
    }
    if (failed.read == PlatformRead::Hosts) {
        this->isHostReadPending = false;
        return;
    }
    this->isTableReadPending = false;
    this->backoff = nextBackoff(this->backoff);
    this->nextTableRead = board.now.mono + jittered(board, this->backoff);
}

auto ConfigController::on(Blackboard &board, const PeerMessage &received) -> void
{
    if (const auto *gossip = gossipOf(received.message)) {
        this->handleGossip(board, received.from, *gossip);
        return;
    }
    if (const auto *request = std::get_if<TableRequest>(&received.message)) {
        sendTable(board, received.from, request->have);
        return;
    }
    if (const auto *body = std::get_if<TableBody>(&received.message)) {
        this->nextTableRequest = board.now.mono;
        if (!body->text.empty()) {
            this->considerTable(board, { body->revision, body->text, body->published });
        }
        if (body->revision == board.config.revision) {
            board.config.placements.merge(body->placements, board.now.wall);
            this->agreementTimeReceived = board.config.placements.isAgreed();
        }
    }
}

auto ConfigController::handleGossip(Blackboard &board, HostId from, const Gossip &gossip) -> void
{
    notePlatformAge(board, gossip);
    if (auto *record = board.membership.record(from)) {
        record->revision = std::max(record->revision, gossip.revision);
        record->placements = gossip.placements;
    }
    if (gossip.revision.isValid() && gossip.revision == board.config.revision) {
        this->compareDigest(board, gossip.tableDigest);
    }
    if (this->newestKnown(board) < gossip.revision && board.now.mono >= this->nextTableRequest) {
        this->requestTable(board, from);
    }
    if (gossip.revision.isValid() && gossip.revision == board.config.revision) {
        this->comparePlacements(board, from, gossip);
    }
}

auto ConfigController::compareDigest(Blackboard &board, std::uint64_t digest) -> void
{
    const auto revision = board.config.revision;
    if (digest != board.config.digest && this->conflictLogged != revision) {
        this->conflictLogged = revision;
        board.log(LogEvent::TableConflict, "revision=" + std::to_string(revision.number));
    }
}

auto ConfigController::comparePlacements(Blackboard &board, HostId from, const Gossip &gossip)
        -> void
{
    if (gossip.placements == board.config.placements.digest()) {
        if (gossip.agreed) {
            board.config.placements.markAgreed(board.now.wall);
        }
        if (!gossip.agreed || this->agreementTimeReceived) {
            return;
        }
    }
    if (board.now.mono >= this->nextPlacementRequest) {
        this->nextPlacementRequest = board.now.mono + placementRequestPeriod;
        this->requestTable(board, from);
    }
}

auto ConfigController::requestTable(Blackboard &board, HostId from) -> void
{
    if (sendPeer(board, from, TableRequest { board.config.revision })) {
        this->nextTableRequest = board.now.mono + peerRequestTimeout;
    }
}

auto ConfigController::on(Blackboard &board, const Tick & /*tick*/) -> void
{
    const auto now = board.now.mono;
    if (this->isTableReadPending && now >= this->tableReadDeadline) {
        this->on(board, PlatformFailed { PlatformRead::Table, "no answer to the table read" });
    }
    if (this->isHostReadPending && now >= this->hostReadDeadline) {
        this->on(board, PlatformFailed { PlatformRead::Hosts, "no answer to the host list read" });
    }
    updatePlacementAgreement(board);
    this->readPlatform(board);
}

auto ConfigController::readPlatform(Blackboard &board) -> void
{
    const auto now = board.now.mono;
    const auto tableDue = !this->isTableReadPending && now >= this->nextTableRead;
    const auto hostsDue = !this->isHostReadPending && now >= this->nextHostRead;
    if (!tableDue && !hostsDue) {
        return;
    }
    const auto reader = isReader(board);
    const auto stale = board.config.platformAge(now) > platformStale;
    if (!reader && !stale) {
        return;
    }
    if (tableDue) {
        this->readTable(board, reader ? Duration(config::watchWait) : 0ms);
    }
    if (hostsDue) {
        this->readHosts(board);
    }
}

auto ConfigController::considerTable(Blackboard &board, const TableSource &source) -> void
{
    const auto revision = source.revision;
    const auto &text = source.text;
    if (!revision.isValid() || revision == this->newestRefused) {
        return;
    }
    if (revision < board.config.revision) {
        ++board.stats.tablesOlder;
        if (this->olderLogged != revision) {
            this->olderLogged = revision;
            board.log(LogEvent::TableOlder, "revision=" + std::to_string(revision.number));
        }
        return;
    }
    if (revision == board.config.revision) {
        this->compareDigest(board, hashName(text));
        return;
    }
    auto parsed = parseTable(text, "table");
    if (!parsed) {
        this->refuseTable(board, revision, parsed.error());
        return;
    }
    adoptTable(board, std::move(*parsed), source);
    announceTable(board);
}

auto ConfigController::refuseTable(Blackboard &board, Revision revision, const Findings &findings)
        -> void
{
    ++board.stats.tablesRefused;
    this->newestRefused = std::max(this->newestRefused, revision);
    std::string text = "revision=" + std::to_string(revision.number);
    for (const auto &finding : findings) {
        text += " finding=\"" + finding.toString() + "\"";
    }
    board.log(LogEvent::TableRefused, std::move(text));
}

auto ConfigController::readTable(Blackboard &board, Duration wait) -> void
{
    ++board.stats.platformReads;
    this->isTableReadPending = true;
    this->tableReadDeadline = board.now.mono + wait + readTimeoutMargin;
    board.addAction(ReadTable { this->newestKnown(board), wait });
}

auto ConfigController::readHosts(Blackboard &board) -> void
{
    ++board.stats.platformReads;
    this->isHostReadPending = true;
    this->hostReadDeadline = board.now.mono + readTimeoutMargin;
    const auto &membership = board.membership;
    const auto isStarting = board.now.mono - membership.startedAt < startupPeriod;
    const auto isUnlisted = isStarting && !membership.everListedSelf;
    const Duration period = isUnlisted ? startupHostListPeriod : Duration(config::hostListPeriod);
    this->nextHostRead = board.now.mono + period;
    board.addAction(ReadHosts {});
}

auto ConfigController::notePlatformAnswer(Blackboard &board) -> void
{
    board.config.notePlatform(board.now.mono);
    if (this->platformLost) {
        this->platformLost = false;
        board.log(LogEvent::PlatformBack, "");
    }
}

auto ConfigController::newestKnown(const Blackboard &board) const -> Revision
{
    return std::max(this->newestRefused, board.config.revision);
}

} // namespace flamingograde
