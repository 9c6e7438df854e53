/// Reads incoming HTTP requests.
#pragma once

#include "net/request.h"

#include <flamingograde/address.h>
#include <flamingograde/event.h>

#include <optional>

struct st_h2o_req_t;

namespace flamingograde::net {

/// Returns the parts of `request` that are forwarded. Precondition: its body is complete.
[[nodiscard]] auto readRequest(const st_h2o_req_t &request) -> Request;

/// Returns the event for a caller's request; the exchange id is left unset.
/// Precondition: the body of `request` is complete.
[[nodiscard]] auto readCaller(const st_h2o_req_t &request, Address address) -> CallerArrived;

/// Returns the event for a relayed request, with the exchange id unset, or nothing if a header is
/// missing or malformed. Precondition: the body of `request` is complete.
[[nodiscard]] auto readRelay(const st_h2o_req_t &request) -> std::optional<RelayArrived>;

} // namespace flamingograde::net
