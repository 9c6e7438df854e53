/// When to dial.
#include "core/membership/dialer.h"

#include "core/blackboard.h"
#include "core/membership/ownzone.h"

#include <algorithm>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration redialMin = 100ms;        ///< First pause after a failed dial.
constexpr Duration redialMax = 2s;           ///< Longest pause after failed dials.
constexpr Duration redialMaxOwnZone = 500ms; ///< The same within a zone.
constexpr Duration dialTimeout = 2500ms;     ///< A dial without any answer is tried again.
constexpr Duration dialCourtesy = 300ms; ///< The host with the higher id lets the other dial first.

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
        if (isFirst && host < board.membership.self && now - record->changed < dialCourtesy) {
            continue;
        }
        record->nextDial = now + dialTimeout;
        board.act(ConnectPeer { host, record->member.peer });
    }
}

auto Dialer::connected(Blackboard &board, HostId host) -> void
{
    auto &record = *board.membership.record(host);
    record.connected = true;
    record.backoff = 0ms;
    record.refusals = 0;
    board.membership.touch();
}

auto Dialer::lost(Blackboard &board, const PeerDown &down) -> void
{
    auto *record = board.membership.record(down.host);
    if (record == nullptr) {
        return;
    }
    record->connected = false;
    board.membership.touch();
    record->refusals += down.loss == PeerLoss::Refused ? 1 : 0;
    const auto most = isInOwnZone(board, *record) ? redialMaxOwnZone : redialMax;
    record->backoff = std::clamp<Duration>(record->backoff * 2, redialMin, most);
    std::uniform_int_distribution<Duration::rep> draw(record->backoff.count() / 2,
                                                      record->backoff.count());
    record->nextDial = board.now.mono + Duration(draw(board.random));
}

} // namespace flamingograde
