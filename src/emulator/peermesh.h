/// Connections between hosts, and what travels over them.
#pragma once

#include "emulator/network.h"

#include <flamingograde/action.h>
#include <flamingograde/event.h>
#include <flamingograde/ids.h>
#include <flamingograde/member.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace flamingograde::emulator {

class VirtualClock;

/// A host as the mesh knows it.
struct MeshHost
{
    Member member;
    Place place;
    bool listens = false; ///< Its process runs; otherwise connections are refused.
    bool isDark = false;  ///< Its machine has no power or is frozen: it does not answer at all.
    std::function<void(Event)> give;
};

/// At most one connection a pair of hosts, in order, with the faults of the network.
/// @remarks Not thread safe.
class PeerMesh
{
public:
    PeerMesh(VirtualClock &owner, Network &between) : clock(owner), network(between) {}

    /// Adds a host or replaces what is known of it. Precondition: none.
    auto set(HostId host, MeshHost entry) -> void { this->hosts[host] = std::move(entry); }
    [[nodiscard]] auto at(HostId host) -> MeshHost & { return this->hosts.at(host); }

    /// Connects two hosts; both are told of it, or the first of its failure.
    auto connect(HostId from, HostId to) -> void;
    /// Connects a host with whoever takes connections at `address`.
    auto connectSeed(HostId from, Address address) -> void;
    /// Sends a message, encoded and decoded as on a connection, so that a field that the codec
    /// loses is missing here too; dropped where no connection is up.
    /// @throws std::logic_error if the receiver would refuse the message.
    auto send(HostId from, const SendPeer &sent) -> void;
    /// Ends the connection of two hosts; the second is told of it. Precondition: none.
    auto drop(HostId from, HostId to) -> void;
    /// Ends all connections of a host: the others are told of `loss`.
    auto end(HostId host, PeerLoss loss) -> void;
    /// Ends connections over links that are cut, as hosts notice it. Precondition: to be called
    /// now and then.
    auto review() -> void;

    std::map<HostId, std::uint64_t> bytesSent;
    std::uint64_t bytesBetweenZones = 0;
    std::uint64_t messages = 0;

private:
    using Pair = std::pair<HostId, HostId>;

    struct Connection
    {
        std::uint64_t number = 0;
        std::optional<MonoTime> silentSince;
    };

    static auto pairOf(HostId a, HostId b) -> Pair;
    auto disconnect(Pair pair, PeerLoss loss) -> void;
    auto tell(HostId host, Duration delay, Event event) -> void;
    [[nodiscard]] auto isSilent(HostId a, HostId b) const -> bool;

    VirtualClock &clock;
    Network &network;
    std::map<HostId, MeshHost> hosts;
    std::map<Pair, Connection> connections;
    std::map<Pair, MonoTime> lastArrival; ///< Keeps the order of a direction.
    std::uint64_t lastNumber = 0;
};

} // namespace flamingograde::emulator
