/// Timing of seed dials.
#include "core/membership/seeddialer.h"

#include "core/blackboard.h"

#include <algorithm>
#include <vector>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Delay of the first dial, because a starting host reads the directory first.
constexpr Duration firstDialDelay = 100ms;

/// Period while no connection is up. All hosts of a fleet start within 300 ms.
constexpr Duration unconnectedPeriod = 500ms;

/// Period while connected: a seed that is down then costs a few bytes per second.
constexpr Duration connectedPeriod = 5s;

/// Period of connected hubs, which know hosts of each zone.
constexpr Duration connectedHubPeriod = 30s;

/// Returns whether a connected host accepts connections at `address`.
auto isConnectedAt(const Blackboard &board, Address address) -> bool
{
    const auto &records = board.membership.records();
    return std::any_of(records.begin(), records.end(), [address](const auto &entry) {
        return entry.second.connected && entry.second.member.peer == address;
    });
}

/// Returns the seed addresses that belong to no connected host.
auto unconnectedSeeds(const Blackboard &board) -> std::vector<Address>
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
    if (this->nextDial == MonoTime()) {
        this->nextDial = board.membership.startedAt + firstDialDelay;
    }
    if (board.now.mono < this->nextDial) {
        return;
    }
    this->nextDial = board.now.mono + this->dialPeriod(board);
    const auto hasConnection = board.membership.connectedCount() > 0;
    if (hasConnection && this->mode == SeedDialMode::OneAtATime
        && !board.links.isHub(board.membership.self)) {
        return;
    }
    auto addresses = unconnectedSeeds(board);
    if (this->mode == SeedDialMode::OneAtATime && !addresses.empty()) {
        std::shuffle(addresses.begin(), addresses.end(), board.random);
        addresses.resize(1);
    }
    for (const auto address : addresses) {
        board.addAction(ConnectSeed { address });
    }
}

auto SeedDialer::dialPeriod(const Blackboard &board) const -> Duration
{
    if (board.membership.connectedCount() == 0) {
        return unconnectedPeriod;
    }
    return this->mode == SeedDialMode::All ? connectedPeriod : connectedHubPeriod;
}

} // namespace flamingograde
