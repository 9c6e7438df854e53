/// State of one feed (a long-lived event stream) held by this host.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>

namespace flamingograde {

/// Stage of a feed on this host.
enum class FeedStage : std::uint8_t {
    Opening, ///< Being sent to its upstream; no response head yet.
    Open,    ///< The upstream accepted it; events are forwarded to the caller.
    Waiting, ///< Lost its upstream connection; reopened at `retryAt`.
    Ending,  ///< `EndFeed` was sent to the transport; its completion is awaited.
};

/// Record of a feed. Kept small because a host holds hundreds of thousands of them.
struct Feed
{
    RowId row;
    UpstreamId upstream;
    FlowId flow;
    MonoTime retryAt; ///< When to reopen it; valid only in stage `Waiting`.
    std::uint16_t attempt = 0;
    std::uint16_t failures = 0; ///< Consecutive failed openings.
    FeedStage stage = FeedStage::Opening;
    bool headForwarded = false;     ///< The response head was forwarded to the caller.
    bool upstreamFromToken = false; ///< `upstream` was taken from the caller's flow token.
};

} // namespace flamingograde
