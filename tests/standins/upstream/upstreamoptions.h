/// What an upstream is told at its start.
#pragma once

#include "standins/common/asio.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace standins {

/// The options of one upstream; the field names are those of the control protocol.
struct UpstreamOptions
{
    std::string listen = "127.0.0.1:0";
    std::string name = "upstream";
    std::string service = "service";
    std::size_t slots = 2;          ///< Requests run at once.
    std::size_t queue = 0;          ///< Requests that wait for a slot.
    std::size_t connections = 2000; ///< Feeds at once.
    double serviceMs = 10;
    double serviceJitter = 0; ///< 0 to 1: share by which the service time varies each way.
    std::uint64_t seed = 1;
    double eventMs = 1000; ///< Period of a feed's events; 0: none.
    double coldMs = 0;     ///< Slower for this long from its start.
    std::size_t answerBytes = 0;
    unsigned retryAfter = 1; ///< Seconds, told with what is shed.

    /// Reads the options that are given. @throws nlohmann::json::exception on a wrong type.
    [[nodiscard]] static auto fromJson(const Json &json) -> UpstreamOptions;
};

} // namespace standins
