/// The options of a load generator.
#pragma once

#include "standins/common/asio.h"

#include <cstdint>
#include <optional>
#include <string>

namespace standins {

/// The kind of requests that a load generator sends.
enum class LoadKind {
    Unknown,
    Request,
    Feed,
    Upload,
};

/// The options of the command `load`. The fields are named after those of the control protocol.
struct LoadOptions
{
    std::string name;
    std::string address;
    LoadKind kind = LoadKind::Request;
    /// Requests sent or feeds opened per second; 0: requests all at once, feeds at a default rate.
    double rate = 0;
    std::uint64_t count = 0; ///< Total number of requests; 0: until stopped.
    std::size_t flows = 0;   ///< Number of feeds, or of flows among which requests alternate.
    bool idempotent = true;  ///< Whether a request may be run more than once.
    double keyed = 0;        ///< Share of the requests with an idempotency key, 0 to 1.
    double timeoutMs = 10000;
    std::size_t bodyBytes = 0;
    bool retries = false;                    ///< Whether failed requests are retried.
    std::optional<asio::ip::address> source; ///< Local IP address to connect from.
    unsigned tries = 5;                      ///< Maximum number of attempts per request.
    unsigned reuse = 64;                     ///< Maximum number of requests per connection.
    unsigned deadlineMs = 0;  ///< Caller's deadline, as `Flamingograde-Timeout`; 0: none.
    double silenceMs = 15000; ///< Time without a byte after which a feed is reopened.
    bool poisson = false;     ///< Exponentially distributed instead of equal intervals.
    std::string host;         ///< Value of the `Host` header; default: the address.
    std::string keyZone;      ///< Zone that prefixes the idempotency keys; empty for none.
    std::string service;      ///< Service expected in answers; if empty, that of the first answer.

    /// Reads the options from a command. @throws std::exception if an option is invalid.
    [[nodiscard]] static auto fromJson(const Json &json) -> LoadOptions;
};

} // namespace standins
