/// The daemon's events on standard output.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/member.h>

#include <string>

namespace flamingograde::net {

/// Each writes one JSON object as a line and flushes it. Not thread safe.
auto reportReady(const Member &self, Address admin) -> void;
auto reportListen(Address row, Address bound) -> void;
auto reportUnlisten(Address row) -> void;
auto reportStopped(const std::string &left) -> void;

} // namespace flamingograde::net
