/// The daemon's events on standard output.
#pragma once

#include <flamingograde/address.h>

#include <string>

namespace flamingograde::net {

/// Where a host listens for other hosts and operators. Other hosts may be told another address.
struct BoundAddresses
{
    Address admin;
    Address peer;
    Address relay;   ///< Invalid where there are no HTTP rows.
    Address packets; ///< Invalid where no packets are carried.
    Address ready;   ///< Invalid where the fabric does not ask.
};

/// Each writes one JSON object as a line and flushes it. Not thread safe.
auto reportReady(const std::string &host, const BoundAddresses &bound) -> void;
auto reportListen(Address row, Address bound) -> void;
auto reportUnlisten(Address row) -> void;
auto reportStopped(const std::string &left) -> void;

} // namespace flamingograde::net
