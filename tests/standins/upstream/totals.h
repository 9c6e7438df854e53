/// The counters of one upstream.
#pragma once

#include "standins/common/asio.h"

#include <cstdint>

namespace standins {

/// What an upstream has seen since its start.
struct Totals
{
    std::uint64_t runs = 0;
    std::uint64_t misdirected = 0; ///< Of another service: answered 421.
    std::uint64_t shed = 0;
    std::uint64_t overSlots = 0; ///< Came when no slot was free.
    std::uint64_t overConnections = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0; ///< Past their deadline: answered 504.
    std::uint64_t feedsOpen = 0;
    std::uint64_t feedsOpened = 0;
    std::uint64_t uploads = 0; ///< Run with a body.
    std::uint64_t bodyBytes = 0;
    std::uint64_t healthReads = 0;
    std::uint64_t runningMax = 0;

    /// Adds the counters of another upstream; of `runningMax` the larger.
    auto add(const Totals &other) -> void;

    /// Returns the counters by their names in the control protocol.
    [[nodiscard]] auto toJson() const -> Json;
};

} // namespace standins
