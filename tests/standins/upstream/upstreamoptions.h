/// The start options of an upstream.
#pragma once

#include "standins/common/asio.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace standins {

/// The options of one upstream. The fields are named after those of the control protocol.
struct UpstreamOptions
{
    std::string listen = "127.0.0.1:0"; ///< Address to listen on.
    std::string name = "upstream";
    std::string service = "service"; ///< Requests with another `Host` are answered 421.
    std::size_t slots = 2;           ///< Maximum number of requests running at once.
    std::size_t queue = 0;           ///< Maximum number of requests queued for a slot.
    std::size_t connections = 2000;  ///< Maximum number of feeds open at once.
    double serviceMs = 10;           ///< Mean service time of a request when warm.
    double serviceJitter = 0; ///< Maximum deviation of the service time as a share of it, 0 to 1.
    std::uint64_t seed = 1;   ///< Of the random service times.
    double eventMs = 1000;    ///< Period between events of a feed; 0: no events.
    double coldMs = 0;        ///< Warm-up time after the start: slower, `/healthz` says `cold`.
    std::size_t answerBytes = 0; ///< Minimum size of an answer's body.
    unsigned retryAfter = 1;     ///< Value of `Retry-After` in answers with 503, in seconds.

    /// Reads the options; absent ones keep their defaults.
    /// @throws nlohmann::json::exception if a value has the wrong type.
    [[nodiscard]] static auto fromJson(const Json &json) -> UpstreamOptions;
};

} // namespace standins
