/// The connections with other hosts.
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

/// Keeps at most one connection with each host, dials on demand, and watches for silence.
/// @remarks Not thread safe.
class PeerHub
{
public:
    using Post = std::function<void(Event)>;
    using LogText = std::function<void(LogEvent, const std::string &)>;

    /// @param self what this host says of itself in `Hello`.
    /// @param sourceIp IP number to dial from; invalid: the system's choice.
    PeerHub(Loop &owner, Member self, Address sourceIp, Post report, LogText logger);
    ~PeerHub();
    PeerHub(const PeerHub &) = delete;
    auto operator=(const PeerHub &) -> PeerHub & = delete;

    /// Takes a connection that another host dialled.
    auto accept(st_h2o_socket_t *connection) -> void;

    /// Dials `host`, unless a connection is up or coming. Precondition: not in a socket's callback.
    auto connect(HostId host, Address address) -> void;

    /// Dials whatever host takes connections at `address`, unless that is being done.
    /// Precondition: as above.
    auto connectSeed(Address address) -> void;

    /// Closes the connection with `host` without an event. Precondition: as above.
    auto drop(HostId host) -> void;

    /// Sends a message; dropped where no connection is up. Precondition: none.
    auto send(HostId host, const Message &message) -> void;

    /// Sends a message to several hosts, encoded once. Precondition: none.
    auto send(const std::vector<HostId> &hosts, const Message &message) -> void;

    /// Returns the counters. Precondition: none.
    [[nodiscard]] auto traffic() const -> const PeerTraffic & { return this->counters; }

private:
    friend class PeerLink;
    using LinkId = std::uint64_t;

    /// A host that closed its connection while another one with it may be coming: it has chosen
    /// the other, of which this host does not know yet.
    struct Awaited
    {
        std::uint64_t incarnation = 0;
        Timer timer; ///< Until the host is held to be down.
    };

    auto add() -> PeerLink &;
    auto remove(LinkId link) -> void;
    auto linkOf(HostId host) -> PeerLink *;
    auto dial(HostId host, Address address) -> void;
    auto replace(const PeerLink &link) -> void;
    auto introduced(PeerLink &link) -> void;
    auto keepsNew(const PeerLink &present, const PeerLink &coming) const -> bool;
    auto chooseOne(PeerLink &present, PeerLink &coming) -> void;
    auto ended(PeerLink &link, PeerLoss loss) -> void;
    auto lost(const PeerLink &link, PeerLoss loss) -> void;
    auto notIntroduced(const PeerLink &link, PeerLoss loss) -> void;
    [[nodiscard]] auto isComing(HostId host) const -> bool;

    Loop &loop;
    Member self;
    Address source;
    Post post;
    LogText log;
    PeerTraffic counters;
    std::unique_ptr<PeerEndpoints> endpoints;
    std::unordered_map<LinkId, std::unique_ptr<PeerLink>> links;
    std::unordered_map<HostId, LinkId> up;      ///< With both `Hello`s.
    std::unordered_map<HostId, LinkId> dialled; ///< Still without.
    std::unordered_map<HostId, Awaited> awaited;
    LinkId lastLink = 0;
};

} // namespace flamingograde::net
