/// Reads requests that came in over HTTP.
#pragma once

#include "net/request.h"

#include <flamingograde/address.h>
#include <flamingograde/event.h>

#include <optional>

struct st_h2o_req_t;

namespace flamingograde::net {

/// Returns what is passed on of `request`. Precondition: its body is complete.
[[nodiscard]] auto readRequest(const st_h2o_req_t &request) -> Request;

/// Returns the event of a caller's request, without its exchange. Precondition: as above.
[[nodiscard]] auto readCaller(const st_h2o_req_t &request, Address address) -> CallerArrived;

/// Returns the event of a relayed request, without its exchange; nothing where a header is missing
/// or malformed. Precondition: as above.
[[nodiscard]] auto readRelay(const st_h2o_req_t &request) -> std::optional<RelayArrived>;

} // namespace flamingograde::net
