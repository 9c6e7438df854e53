/// State of one request in progress on this host.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/refusal.h>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingograde {

/// Where a request came from.
enum class Origin : std::uint8_t {
    Caller, ///< A caller sent it to this host, which has to answer the caller.
    Relay,  ///< Another host relayed it to this host, the home of its cell.
};

/// Stage of a request on this host.
enum class Stage : std::uint8_t {
    Placing,    ///< Waits for placement by the steering controller.
    Relayed,    ///< Sent to its home host; waits for the response.
    Admitting,  ///< At its home; waits for the check by the key controller.
    Looking,    ///< Waits until a former home reports whether it knows the key.
    Attached,   ///< Waits for the answer of another request with the same key.
    Queued,     ///< Waits for a free upstream slot.
    Dispatched, ///< Sent to an upstream; waits for the response.
    Answering,  ///< The answer is being forwarded.
};

/// Record of a request or upload. Feeds have a smaller record, `Feed`.
struct Exchange
{
    ExchangeId id;
    Origin origin = Origin::Caller;
    HostId from; ///< The relaying host; valid only for `Origin::Relay`.
    RowId row;
    Address rowAddress;
    ServiceId service;
    CellId cell;         ///< The cell it was placed in; invalid before placement.
    HostId home;         ///< The host it was relayed to.
    UpstreamId upstream; ///< Set by the caller's flow token or chosen at dispatch.
    bool bound = false;  ///< Only `upstream` may run it, while that upstream has slots.
    bool idempotent = true;
    FlowId flow;
    std::string key; ///< Idempotency key; generated for a non-idempotent request that has none.
    bool hasGeneratedKey = false;       ///< `key` was generated here, so no other host can know it.
    std::optional<WallTime> keyCreated; ///< Creation time of `key` if it is a UUIDv7.
    std::string setToken;               ///< Flow token for the answer to set.
    MonoTime arrived;
    MonoTime deadline;
    std::uint64_t bodyBytes = 0;
    std::uint32_t attempt = 0; ///< Incremented by each placement; sent with each action.
    Stage stage = Stage::Placing;
    bool maybeSent = false; ///< The current attempt may have been sent to an upstream or a home.
    bool earlierAttemptMaybeSent = false; ///< An earlier attempt may have been sent.
    bool callerGone = false; ///< Caller left; continues so that a repeat of its key is answered.
    CellId avoidCell;        ///< Cell to avoid, as it last failed to take the request; or invalid.
};

} // namespace flamingograde
