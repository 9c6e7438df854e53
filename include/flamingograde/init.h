/// Settings with which a host starts.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/coldpolicy.h>
#include <flamingograde/config.h>
#include <flamingograde/member.h>
#include <flamingograde/packetpolicy.h>
#include <flamingograde/policy.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace flamingograde {

/// The settings of the library. Defaults are defined in `config.h`.
struct Init
{
    Member self;               ///< This host: name, zone, addresses and link.
    std::vector<Member> seeds; ///< Peers to contact first; may be incomplete or out of date.
    std::vector<Address> seedAddresses; ///< Peer addresses of hosts with unknown names.
    bool readsDirectory = false;        ///< The platform publishes a directory instead of a table.
    Duration upstreamHeartbeat = config::upstreamHeartbeat; ///< Period in which upstreams renew
                                                            ///< their leases with the platform.
    PacketPolicy packetPolicy = PacketPolicy::LeastBusy;    ///< How new flows are placed.
    bool admitsByLoad = true;                  ///< Refuse new flows that a service has no room for.
    ColdPolicy coldPolicy = ColdPolicy::Owner; ///< How hosts divide cold limits.
    double coldExcess = config::coldExcess;    ///< Limit of all requests to a cold upstream in any
                                               ///< second: this multiple of its cold limit,
    double coldSlack = config::coldSlack;      ///< plus this many requests.
    std::size_t flowsTracked = 0;     ///< Packet flows that are tracked; 0: no packets are carried.
    std::uint64_t seed = 1;           ///< Seed of all random choices.
    Policy policy = Policy::CellHome; ///< How requests are placed on upstreams.
    Duration stopTimeout = config::stopTimeout;      ///< Longest duration of an orderly stop.
    Duration clockBound = config::clockBound;        ///< Largest difference between wall clocks.
    std::size_t exchangesMax = config::exchangesMax; ///< Requests in progress at once.
    std::size_t feedsMax = config::feedsMax;         ///< Feeds held open at once.
};

} // namespace flamingograde
