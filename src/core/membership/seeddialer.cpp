/// When to dial seeds.
#include "core/membership/seeddialer.h"

#include "core/blackboard.h"

#include <algorithm>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration firstPause = 100ms;   ///< A starting host reads the directory first.
constexpr Duration lonelyPeriod = 500ms; ///< All hosts of a fleet start within 300 ms.
constexpr Duration calmPeriod = 5s;      ///< A few bytes a second for a seed that is down.

/// Returns whether a host that this one is connected with takes connections at `address`.
auto isConnectedAt(const Blackboard &board, Address address) -> bool
{
    const auto &records = board.membership.records();
    return std::any_of(records.begin(), records.end(), [address](const auto &entry) {
        return entry.second.connected && entry.second.member.peer == address;
    });
}

} // namespace

auto SeedDialer::tick(Blackboard &board) -> void
{
    if (this->next == MonoTime()) {
        this->next = board.membership.startedAt + firstPause;
    }
    if (board.now.mono < this->next) {
        return;
    }
    const auto isLonely = board.membership.connectedCount() == 0;
    this->next = board.now.mono + (isLonely ? lonelyPeriod : calmPeriod);
    for (const auto address : board.init.seedAddresses) {
        if (address != board.init.self.peer && !isConnectedAt(board, address)) {
            board.act(ConnectSeed { address });
        }
    }
}

} // namespace flamingograde
