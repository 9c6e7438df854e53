/// What a host is told at its start.
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

/// The settings of the deciding library. The defaults are those of `config.h`.
struct Init
{
    Member self;                        ///< This host: name, zone, addresses and link.
    std::vector<Member> seeds;          ///< Peers to ask first; may be incomplete or out of date.
    std::vector<Address> seedAddresses; ///< Peer addresses of hosts whose names are not known.
    bool readsDirectory = false;        ///< The platform publishes a directory in place of a table.
    PacketPolicy packetPolicy = PacketPolicy::LeastBusy; ///< How new flows are placed.
    ColdPolicy coldPolicy = ColdPolicy::Owner; ///< How hosts divide the rate of cold upstreams.
    double coldExcess = config::coldExcess;    ///< Requests of all hosts to a cold upstream in any
                                               ///< second: at most this many times its limit,
    double coldSlack = config::coldSlack;      ///< plus this many.
    std::size_t flowsTracked = 0;     ///< Packet flows that are watched; 0: no packets are carried.
    std::uint64_t seed = 1;           ///< Of every random choice.
    Policy policy = Policy::CellHome; ///< How requests are placed on upstreams.
    Duration stopTimeout = config::stopTimeout;      ///< Longest wait of an orderly stop.
    Duration clockBound = config::clockBound;        ///< Largest difference between wall clocks.
    std::size_t exchangesMax = config::exchangesMax; ///< Requests under way at once.
    std::size_t feedsMax = config::feedsMax;         ///< Feeds held at once.
};

} // namespace flamingograde
