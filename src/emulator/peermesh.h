/// Emulated peer connections between hosts.
#pragma once

#include "emulator/network.h"

#include <flamingograde/action.h>
#include <flamingograde/event.h>
#include <flamingograde/ids.h>
#include <flamingograde/member.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace flamingograde::emulator {

class VirtualClock;

/// A host's entry in the peer mesh.
struct MeshHost
{
    Member member;
    Place place;
    bool isListening = false; ///< The process accepts connections; otherwise they are refused.
    bool isFrozen = false;    ///< The process is suspended; what is sent to it waits unread.
    bool isDark = false;      ///< The machine has no power and does not answer.
    std::uint64_t boots = 0;  ///< Losses of power; connections from before the last one are gone.
    std::function<void(Event)> give;
};

/// Keeps at most one connection per pair of hosts, delivers messages in order and applies the
/// network's faults.
///
/// As on a real network, messages over a cut link are delivered when it heals, if the connection
/// still exists. A machine that lost power forgets its connections without telling the other ends:
/// each learns of it when it next sends, or by a new connection of the machine that replaces the
/// old one.
/// @remarks Not thread safe.
class PeerMesh
{
public:
    PeerMesh(VirtualClock &virtualClock, Network &emulatedNetwork)
        : clock(virtualClock), network(emulatedNetwork)
    {}

    /// Adds a host or replaces its entry. Precondition: none.
    auto set(HostId host, MeshHost entry) -> void { this->hosts[host] = std::move(entry); }
    [[nodiscard]] auto at(HostId host) -> MeshHost & { return this->hosts.at(host); }

    /// Connects two hosts; notifies both on success, only `from` on failure.
    auto connect(HostId from, HostId to) -> void;
    /// Connects a host to the host that listens at `address`.
    auto connectSeed(HostId from, Address address) -> void;
    /// Sends a message through the codec, as a real connection does, so that a field that the codec
    /// omits is also lost here. Dropped if the hosts are not connected.
    /// @throws std::logic_error if the message does not decode.
    auto send(HostId from, const SendPeer &sent) -> void;
    /// Closes the connection between two hosts and notifies `to`. Precondition: none.
    auto drop(HostId from, HostId to) -> void;
    /// Closes all connections of a host and notifies its peers of `loss`.
    auto end(HostId host, PeerLoss loss) -> void;
    /// Closes connections over cut links: refused ones at once, silent ones after
    /// `config::silenceTimeout`, when real hosts detect the silence. Delivers what waited on links
    /// that have healed, and resets connections from before a loss of power, which real hosts probe
    /// in silence. Precondition: called periodically.
    auto checkConnections() -> void;

    std::map<HostId, std::uint64_t> bytesSent;
    std::uint64_t bytesBetweenZones = 0;
    std::uint64_t messages = 0;

private:
    using Pair = std::pair<HostId, HostId>;

    struct Connection
    {
        std::uint64_t number = 0;
        std::pair<std::uint64_t, std::uint64_t> boots; ///< Of both machines, as it was established.
        std::optional<MonoTime> silentSince;
        std::optional<MonoTime> goneSince; ///< Since when one machine has forgotten it.
        std::deque<std::pair<HostId, PeerMessage>> delayed; ///< By receiver; held up by a cut.
    };

    static auto pairOf(HostId a, HostId b) -> Pair;
    auto disconnect(Pair pair, PeerLoss loss) -> void;
    auto deliver(HostId host, Duration delay, Event event) -> void;
    /// Delivers a message, or keeps it while the link is cut.
    auto arrive(HostId to, std::uint64_t number, PeerMessage message) -> void;
    auto deliverDelayed(Connection &connection) -> void;
    /// Closes a connection of which one machine knows nothing, and notifies the other one.
    auto resetGone(Pair pair) -> void;
    /// Returns whether neither end gets anything from the other one.
    [[nodiscard]] auto isSilent(HostId a, HostId b) const -> bool;
    [[nodiscard]] auto isCut(HostId a, HostId b) const -> bool;
    [[nodiscard]] auto bootsOf(Pair pair) const -> std::pair<std::uint64_t, std::uint64_t>;
    /// Returns whether a machine lost power since the connection was established.
    [[nodiscard]] auto isGone(Pair pair, const Connection &connection) const -> bool;

    VirtualClock &clock;
    Network &network;
    std::map<HostId, MeshHost> hosts;
    std::map<Pair, Connection> connections;
    std::map<Pair, MonoTime> lastArrival; ///< By sender and receiver; keeps messages in order.
    std::uint64_t lastNumber = 0;
};

} // namespace flamingograde::emulator
