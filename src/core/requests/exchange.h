/// One request under way in this host.
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
    Caller, ///< This host took it from a caller and owes the caller the answer.
    Relay,  ///< Another host relayed it to this one as its cell's home.
};

/// How far a request is.
enum class Stage : std::uint8_t {
    Placing,    ///< To be placed by the steering controller.
    Relayed,    ///< Sent to its home host; waits for the answer.
    Admitting,  ///< At its home; to be checked by the key controller.
    Looking,    ///< Waits for a former home's word on its key.
    Attached,   ///< Waits for the answer of another request with its key.
    Queued,     ///< Waits for a slot.
    Dispatched, ///< Sent to an upstream; waits for the answer.
    Answering,  ///< The answer is being passed on.
};

/// A request or upload. Feeds have a smaller record of their own, `Feed`.
struct Exchange
{
    ExchangeId id;
    Origin origin = Origin::Caller;
    HostId from; ///< The relaying host, for `Origin::Relay`.
    RowId row;
    Address rowAddress;
    ServiceId service;
    CellId cell;         ///< The cell it was placed in; invalid before.
    HostId home;         ///< Where it was relayed to.
    UpstreamId upstream; ///< Bound by its flow, or chosen by admission.
    bool bound = false;  ///< Only `upstream` may run it.
    bool idempotent = true;
    FlowId flow;
    std::string key;     ///< Idempotency key; made here for a non-idempotent one without.
    bool ownKey = false; ///< `key` was made by this host, so no other host can know it.
    std::optional<WallTime> keyBirth; ///< Of a key that is a UUIDv7.
    std::string setToken;             ///< To be set by the answer.
    MonoTime arrived;
    MonoTime deadline;
    std::uint64_t bodyBytes = 0;
    std::uint32_t attempt = 0; ///< Raised by each placement; part of the actions.
    Stage stage = Stage::Placing;
    bool maybeSent = false;  ///< Bytes may have left for an upstream or a home.
    bool sentBefore = false; ///< An attempt before the current one may have been sent.
    bool callerGone = false; ///< Runs on so that a repeat of its key gets the answer.
    CellId avoid;            ///< The cell that could not take it last; invalid for none.
};

} // namespace flamingograde
