/// JSON views of the directory and of placement, for operators.
#pragma once

#include <flamingograde/address.h>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace flamingograde {

class Blackboard;

/// Returns the rows and upstreams as this host knows them, with their load and health.
/// Precondition: none.
[[nodiscard]] auto directoryJson(const Blackboard &board) -> nlohmann::json;

/// Explains where a packet to `address` would go now, and why.
/// @param cookie in decimal, as in the log; empty for a flow that is yet to be opened.
/// Changes nothing. Precondition: none.
[[nodiscard]] auto explainPacket(const Blackboard &board, Address address,
                                 const std::string &cookie) -> nlohmann::json;

} // namespace flamingograde
