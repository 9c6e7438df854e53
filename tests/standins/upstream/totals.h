/// The counters of one upstream.
#pragma once

#include "standins/common/asio.h"

#include <cstdint>

namespace standins {

/// The counters of an upstream since its start.
struct Totals
{
    std::uint64_t runs = 0;        ///< Requests run.
    std::uint64_t misdirected = 0; ///< Requests for another service, answered 421.
    std::uint64_t shed = 0;        ///< Requests refused with 503 for lack of capacity or by fault.
    std::uint64_t overSlots = 0;   ///< Requests that arrived when no slot was free.
    std::uint64_t overConnections = 0; ///< Feeds refused at the limit of feeds.
    std::uint64_t cancelled = 0;       ///< Requests whose connection closed before the answer.
    std::uint64_t expired = 0;         ///< Requests past their deadline, answered 504.
    std::uint64_t feedsOpen = 0;       ///< Feeds currently open.
    std::uint64_t feedsOpened = 0;     ///< Feeds opened in total.
    std::uint64_t uploads = 0;         ///< Requests run that had a body.
    std::uint64_t bodyBytes = 0;       ///< Body bytes of the requests run.
    std::uint64_t healthReads = 0;     ///< Requests for `/healthz`.
    std::uint64_t runningMax = 0;      ///< Maximum number of requests running at once.

    /// Adds the counters of another upstream. Of `runningMax`, keeps the larger value.
    auto add(const Totals &other) -> void;

    /// Returns the counters under their control protocol names.
    [[nodiscard]] auto toJson() const -> Json;
};

} // namespace standins
