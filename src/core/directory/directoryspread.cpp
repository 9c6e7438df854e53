/// Groups hosts that get the same message.
#include "core/directory/directoryspread.h"

#include "core/blackboard.h"
#include "core/directory/directorypages.h"
#include "core/directory/readerelection.h"
#include "core/membership/gossip.h"
#include "core/overlay/linkchoice.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace flamingograde {

namespace {

/// Least difference between two times that are sent: two readers' answers reach each host.
constexpr Duration freshnessStep = std::chrono::milliseconds(500);

constexpr std::size_t pageRecords = 1500; ///< Most upstreams in a page, about 100 KB.
constexpr std::size_t pagesPerTick = 2;   ///< Different pages that are encoded in one tick.

/// Returns the revision after which a host needs changes: its own one, or the one after which
/// `update` lists changes, if it has all changes up to there.
auto changesNeededAfter(const MemberRecord &record, const DirectoryUpdate &update) -> Revision
{
    const auto isCovered = !update.isWhole() && !(record.directory < update.after);
    return isCovered ? update.after : record.directory;
}

} // namespace

auto sendChanges(Blackboard &board, const std::vector<HostId> &hosts, const DirectoryUpdate &update)
        -> void
{
    std::map<Revision, std::vector<HostId>> recipients; // By revision.
    for (const auto host : hosts) {
        auto *record = board.membership.record(host);
        if (record == nullptr || !record->connected || !(record->directory < update.upTo)) {
            continue;
        }
        if (!board.directory.hasChangesSince(record->directory)) {
            continue; // It requests the whole directory itself.
        }
        recipients[changesNeededAfter(*record, update)].push_back(host);
        record->directory = update.upTo;
    }
    for (auto &[after, group] : recipients) {
        const auto isSame = !update.isWhole() && after == update.after;
        sendPeers(board, std::move(group),
                  isSame ? update : board.directory.updateSince(after, board.now.mono));
    }
}

auto announceDirectory(Blackboard &board) -> void
{
    for (const auto &[id, record] : board.membership.records()) {
        if (record.connected && !board.directory.hasChangesSince(record.directory)) {
            sendPeer(board, id, Ping { 0, makeGossip(board, id) });
        }
    }
}

auto announceFreshness(Blackboard &board) -> void
{
    for (const auto &[id, record] : board.membership.records()) {
        if (record.connected && !record.hasCurrentDirectory) {
            sendPeer(board, id, Ping { 0, makeGossip(board, id) });
        }
    }
}

auto FreshnessSpreader::spread(Blackboard &board, HostId from) -> void
{
    const auto until = board.freshness.asOf();
    if (!until || *until - this->sentUntil < freshnessStep) {
        return;
    }
    this->sentUntil = *until;
    auto hosts = forwardTargets(board, from);
    if (from == board.membership.self) {
        const auto others = crossZoneRecipients(board);
        hosts.insert(hosts.end(), others.begin(), others.end());
    }
    for (const auto host : hosts) {
        sendPeer(board, host, Ping { 0, makeGossip(board, host) });
    }
}

auto PageServer::request(Blackboard &board, HostId from, DirectoryPosition position) -> void
{
    const auto *record = board.membership.record(from);
    if (record == nullptr) {
        return;
    }
    const auto zone = record->member.zone;
    if (!std::exchange(this->sentSinceTick, true)) {
        send(board, { zone, position, { from } });
        return;
    }
    const auto found =
            std::find_if(this->waiting.begin(), this->waiting.end(), [&](const Group &group) {
                return group.zone == zone && group.position == position;
            });
    if (found == this->waiting.end()) {
        this->waiting.push_back({ zone, position, { from } });
        return;
    }
    if (std::find(found->hosts.begin(), found->hosts.end(), from) == found->hosts.end()) {
        found->hosts.push_back(from);
    }
}

auto PageServer::tick(Blackboard &board) -> void
{
    const auto count = std::min(this->waiting.size(), pagesPerTick);
    const auto end = this->waiting.begin() + static_cast<std::ptrdiff_t>(count);
    std::for_each(this->waiting.begin(), end, [&](const Group &group) { send(board, group); });
    this->waiting.erase(this->waiting.begin(), end);
    this->sentSinceTick = !this->waiting.empty();
}

auto PageServer::send(Blackboard &board, const Group &group) -> void
{
    const auto &directory = board.directory;
    sendPeers(board, group.hosts,
              directory.revision().isValid()
                      ? makePage(directory, group.zone, group.position, pageRecords)
                      : makePart(directory, group.position, pageRecords));
}

} // namespace flamingograde
