/// Manages the connections to other hosts.
#pragma once

#include "net/peertraffic.h"
#include "net/timer.h"

#include <flamingograde/address.h>
#include <flamingograde/event.h>
#include <flamingograde/ids.h>
#include <flamingograde/logevent.h>
#include <flamingograde/member.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Loop;
struct PeerEndpoints;
class PeerLink;

/// Keeps at most one connection to each host, dials on demand, and replaces silent connections.
/// @remarks Not thread safe.
class PeerHub
{
public:
    using Post = std::function<void(Event)>;
    using LogCallback = std::function<void(LogEvent, const std::string &)>;

    /// @param self description of this host, sent in `Hello`.
    /// @param sourceIp IP address to dial from; if invalid, the system selects it.
    PeerHub(Loop &owner, Member self, Address sourceIp, Post report, LogCallback logger);
    ~PeerHub();
    PeerHub(const PeerHub &) = delete;
    auto operator=(const PeerHub &) -> PeerHub & = delete;

    /// Takes over a connection that another host dialled.
    auto accept(st_h2o_socket_t *connection) -> void;

    /// Dials `host`, unless it is connected or being dialled.
    /// Precondition: not called from a socket callback.
    auto connect(HostId host, Address address) -> void;

    /// Dials the host that listens on `address`, whose identity is unknown, unless a dial to that
    /// address is in progress. Precondition: not called from a socket callback.
    auto connectSeed(Address address) -> void;

    /// Closes the connection to `host` without posting an event.
    /// Precondition: not called from a socket callback.
    auto drop(HostId host) -> void;

    /// Sends a message, or drops it if `host` is not connected. Precondition: none.
    auto send(HostId host, const Message &message) -> void;

    /// Sends a message to several hosts; the message is encoded only once. Precondition: none.
    auto send(const std::vector<HostId> &hosts, const Message &message) -> void;

    /// Returns the traffic counters. Precondition: none.
    [[nodiscard]] auto traffic() const -> const PeerTraffic & { return this->counters; }

private:
    friend class PeerLink;
    using LinkId = std::uint64_t;

    /// State of a host that closed its connection while another one, which may be to the same host,
    /// is being established: the host may have kept that other one in place of the closed one.
    struct PendingReplacement
    {
        std::uint64_t incarnation = 0;
        Timer timer; ///< Reports the host as down when it expires.
    };

    auto addLink() -> PeerLink &;
    auto removeLink(LinkId link) -> void;
    auto linkOf(HostId host) -> PeerLink *;
    auto dial(HostId host, Address address) -> void;
    auto dialReplacement(const PeerLink &link) -> void;
    auto helloReceived(PeerLink &link) -> void;
    auto prefersNew(const PeerLink &existing, const PeerLink &candidate) const -> bool;
    auto resolveDuplicate(PeerLink &existing, PeerLink &candidate) -> void;
    auto ended(PeerLink &link, PeerLoss loss) -> void;
    auto endedAfterHello(const PeerLink &link, PeerLoss loss) -> void;
    auto endedBeforeHello(const PeerLink &link, PeerLoss loss) -> void;
    [[nodiscard]] auto mayBeConnecting(HostId host) const -> bool;

    Loop &loop;
    Member self;
    Address source;
    Post post;
    LogCallback log;
    PeerTraffic counters;
    std::unique_ptr<PeerEndpoints> endpoints;
    std::unordered_map<LinkId, std::unique_ptr<PeerLink>> links;
    std::unordered_map<HostId, LinkId> up;      ///< Connections on which both hosts sent `Hello`.
    std::unordered_map<HostId, LinkId> dialled; ///< Dialled, `Hello` not yet received.
    std::unordered_map<HostId, PendingReplacement> pendingReplacements;
    LinkId lastLink = 0;
};

} // namespace flamingograde::net
