/// When to dial seeds.
#include "core/membership/seeddialer.h"

#include "core/blackboard.h"

#include <algorithm>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration firstPause = 100ms;   ///< A starting host reads the directory first.
constexpr Duration lonelyPeriod = 500ms; ///< All hosts of a fleet start within 300 ms.
constexpr Duration calmPeriod = 5s;      ///< A few bytes a second for a seed that is down.
constexpr Duration hubPeriod = 30s;      ///< The same for hubs, which know hosts of each zone.

/// Returns whether a host that this one is connected with takes connections at `address`.
auto isConnectedAt(const Blackboard &board, Address address) -> bool
{
    const auto &records = board.membership.records();
    return std::any_of(records.begin(), records.end(), [address](const auto &entry) {
        return entry.second.connected && entry.second.member.peer == address;
    });
}

/// Returns the seeds' addresses at which no connected host is.
auto unmetSeeds(const Blackboard &board) -> std::vector<Address>
{
    std::vector<Address> addresses;
    for (const auto address : board.init.seedAddresses) {
        if (address != board.init.self.peer && !isConnectedAt(board, address)) {
            addresses.push_back(address);
        }
    }
    return addresses;
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
    this->next = board.now.mono + this->pause(board);
    const auto isMet = board.membership.connectedCount() > 0;
    if (isMet && this->effort == SeedEffort::OneAtATime
        && !board.links.isHub(board.membership.self)) {
        return;
    }
    auto addresses = unmetSeeds(board);
    if (this->effort == SeedEffort::OneAtATime && !addresses.empty()) {
        std::shuffle(addresses.begin(), addresses.end(), board.random);
        addresses.resize(1);
    }
    for (const auto address : addresses) {
        board.act(ConnectSeed { address });
    }
}

auto SeedDialer::pause(const Blackboard &board) const -> Duration
{
    if (board.membership.connectedCount() == 0) {
        return lonelyPeriod;
    }
    return this->effort == SeedEffort::All ? calmPeriod : hubPeriod;
}

} // namespace flamingograde
