/// What a load sends.
#pragma once

#include "standins/common/asio.h"

#include <cstdint>
#include <optional>
#include <string>

namespace standins {

/// The kinds of loads.
enum class LoadKind {
    Unknown,
    Request,
    Feed,
    Upload,
};

/// The options of the command `load`; the field names are those of the control protocol.
struct LoadOptions
{
    std::string name;
    std::string address;
    LoadKind kind = LoadKind::Request;
    double rate = 0;         ///< Requests (feeds: openings) a second; 0: all at once.
    std::uint64_t count = 0; ///< Requests in all; 0: until stopped.
    std::size_t flows = 0;   ///< Feeds, or flows that the requests belong to in turn.
    bool idempotent = true;
    double keyed = 0; ///< Share of the requests that carry a key.
    double timeoutMs = 10000;
    std::size_t bodyBytes = 0;
    bool retries = false;
    std::optional<asio::ip::address> source; ///< IP number to connect from.
    unsigned tries = 5;                      ///< Attempts of one request, at most.
    unsigned reuse = 64;                     ///< Requests on one connection, at most.
    unsigned deadlineMs = 0;                 ///< Told as the caller's own deadline; 0: none.
    double silenceMs = 15000; ///< A feed without a byte for this long is opened again.
    bool poisson = false;     ///< Random instead of even gaps between requests.
    std::string host;         ///< Told as `Host`; default: the address.
    std::string keyZone;      ///< Prefix of the keys.
    std::string service;      ///< Expected in answers; empty: the first one seen.

    /// Reads the options. @throws std::exception on a wrong one.
    [[nodiscard]] static auto fromJson(const Json &json) -> LoadOptions;
};

} // namespace standins
