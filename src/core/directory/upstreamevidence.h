/// Load and health of one upstream as observed from callers' packets.
#pragma once

#include "core/packets/lostrequests.h"

#include <flamingograde/clock.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

/// Load and signs of life of an upstream, derived from the packets that this host forwards.
struct UpstreamEvidence
{
    std::uint32_t pending = 0;    ///< Pending requests and openings of this host's flows.
    std::uint32_t underWay = 0;   ///< Those of them that wait for, or occupy, a slot.
    std::uint32_t unanswered = 0; ///< Requests and openings unanswered since the last sign of life.
    /// Unanswered requests sent three times while other upstreams answered.
    LostRequests lostRequests;
    std::optional<MonoTime> silentSince; ///< Since when it receives new flows only as trials.
    MonoTime lastHeardAt;                ///< Time of the last sign of life.
    MonoTime nextTrial;                  ///< If silent: earliest time of the next trial.
    Duration trialPause { 0 };           ///< If silent: pause after the next trial.
    Duration handshake { 0 };            ///< Mean time from an opening to the caller's next packet.
    Duration response { 0 }; ///< Mean time from a request to the caller's acknowledgement.
    MonoTime respondedAt;    ///< When `response` was last measured.

    [[nodiscard]] auto isSilent() const -> bool { return this->silentSince.has_value(); }

    /// Clears all evidence that the upstream does not answer, after a sign that it does.
    /// Precondition: none.
    auto clearSilence() -> void
    {
        this->unanswered = 0;
        this->lostRequests.clear();
        this->silentSince.reset();
        this->nextTrial = MonoTime();
    }
};

} // namespace flamingograde
