/// What callers' packets show of one upstream.
#pragma once

#include "core/packets/lostrequests.h"

#include <flamingograde/clock.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

/// Load and signs of life of an upstream, as far as the packets that this host forwards show them.
struct UpstreamEvidence
{
    std::uint32_t busy = 0;       ///< Requests and openings of this host's flows under way.
    std::uint32_t unanswered = 0; ///< What it did not answer since the last sign of life.
    LostRequests lost; ///< Of these, requests sent three times while others answered this host.
    std::optional<MonoTime> silentSince; ///< Since when it gets no new flows but on trial.
    MonoTime heard;                      ///< When it last showed life.
    MonoTime nextTrial;                  ///< Of a silent one: not tried before this.
    Duration trialPause { 0 };           ///< Of a silent one: the pause after the next trial.
    Duration handshake { 0 };            ///< Mean time from an opening to the caller's next packet.
    Duration response { 0 }; ///< Mean time from a request to the caller's acknowledgement.

    [[nodiscard]] auto isSilent() const -> bool { return this->silentSince.has_value(); }

    /// Ends every belief that it does not answer: something speaks against it. Precondition: none.
    auto forgetSilence() -> void
    {
        this->unanswered = 0;
        this->lost.clear();
        this->silentSince.reset();
        this->nextTrial = MonoTime();
    }
};

} // namespace flamingograde
