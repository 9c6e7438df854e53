/// Timing of dials and backoff.
#include "core/membership/dialer.h"

#include "core/blackboard.h"
#include "core/membership/ownzone.h"

#include <algorithm>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration minBackoff = 100ms;        ///< Backoff after the first failed dial.
constexpr Duration maxBackoffOtherZone = 2s;  ///< Longest backoff towards hosts of other zones.
constexpr Duration maxBackoffOwnZone = 500ms; ///< Longest backoff within the zone.
constexpr Duration dialTimeout = 2500ms;      ///< A dial without any result is repeated after this.

/// How long the host with the higher id delays its first dial, so that the other one dials first.
constexpr Duration higherIdDialDelay = 300ms;

} // namespace

auto Dialer::tick(Blackboard &board, const std::vector<HostId> &wanted) -> void
{
    const auto now = board.now.mono;
    for (const auto host : wanted) {
        auto *record = board.membership.record(host);
        if (record == nullptr || record->connected || now < record->nextDial) {
            continue;
        }
        const auto isFirst = record->backoff == 0ms;
        if (isFirst && host < board.membership.self && now - record->changed < higherIdDialDelay) {
            continue;
        }
        record->nextDial = now + dialTimeout;
        board.addAction(ConnectPeer { host, record->member.peer });
    }
}

auto Dialer::connected(Blackboard &board, HostId host) -> void
{
    auto &record = *board.membership.record(host);
    record.connected = true;
    record.backoff = 0ms;
    record.refusals = 0;
    board.membership.invalidateLookups();
}

auto Dialer::lost(Blackboard &board, const PeerDown &down) -> void
{
    auto *record = board.membership.record(down.host);
    if (record == nullptr) {
        return;
    }
    record->connected = false;
    board.membership.invalidateLookups();
    record->refusals += down.loss == PeerLoss::Refused ? 1 : 0;
    const auto maxBackoff = isInOwnZone(board, *record) ? maxBackoffOwnZone : maxBackoffOtherZone;
    record->backoff = std::clamp<Duration>(record->backoff * 2, minBackoff, maxBackoff);
    std::uniform_int_distribution<Duration::rep> distribution(record->backoff.count() / 2,
                                                              record->backoff.count());
    record->nextDial = board.now.mono + Duration(distribution(board.random));
}

} // namespace flamingograde
