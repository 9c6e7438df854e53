/// What a host says of its directory and of where flows would go.
#pragma once

#include <flamingograde/address.h>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace flamingograde {

class Blackboard;

/// Returns rows and upstreams with what this host holds of them. Precondition: none.
[[nodiscard]] auto directoryJson(const Blackboard &board) -> nlohmann::json;

/// Says where a packet to `address` would go now, and why.
/// @param cookie as the log writes it; empty for a flow that is to be opened.
/// Changes nothing. Precondition: none.
[[nodiscard]] auto explainPacket(const Blackboard &board, Address address,
                                 const std::string &cookie) -> nlohmann::json;

} // namespace flamingograde
