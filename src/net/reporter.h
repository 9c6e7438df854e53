/// Reports the daemon's events on standard output.
#pragma once

#include <flamingograde/address.h>

#include <string>

namespace flamingograde::net {

/// The addresses a host listens on. The address advertised to other hosts may differ.
struct BoundAddresses
{
    Address admin;
    Address peer;
    Address relay;   ///< Invalid if there are no HTTP rows.
    Address packets; ///< Invalid if the host does not forward packets.
    Address ready;   ///< Invalid without readiness checks.
};

/// Each function writes one JSON object as a line and flushes the stream. Not thread safe.
/// `left` in `reportStopped` describes the work that the shutdown left unfinished.
auto reportReady(const std::string &host, const BoundAddresses &bound) -> void;
auto reportListen(Address row, Address bound) -> void;
auto reportUnlisten(Address row) -> void;
auto reportStopped(const std::string &left) -> void;

} // namespace flamingograde::net
