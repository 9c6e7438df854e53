/// One open feed in this host.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstdint>

namespace flamingograde {

/// How far a feed is.
enum class FeedStage : std::uint8_t {
    Opening, ///< Sent to its upstream; the caller has no head yet.
    Open,    ///< Events flow.
    Waiting, ///< Lost its upstream connection; to be reopened.
    Ending,  ///< The transport was told to end it.
};

/// A feed. Kept small: a host holds hundreds of thousands.
struct Feed
{
    RowId row;
    UpstreamId upstream;
    FlowId flow;
    MonoTime retryAt; ///< When to reopen, for `Waiting`.
    std::uint16_t attempt = 0;
    std::uint16_t failures = 0; ///< Failed openings in a row.
    FeedStage stage = FeedStage::Opening;
    bool headPassed = false; ///< The caller has the answer's head.
    bool fromToken = false;  ///< The upstream came from the caller's token.
};

} // namespace flamingograde
