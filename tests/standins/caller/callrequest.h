/// An HTTP request of the caller and its serialisation.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace standins {

/// The parts of one HTTP request.
struct CallRequest
{
    std::string method = "GET";
    std::string path = "/";
    std::string host;        ///< Value of the `Host` header.
    std::string accept;      ///< Value of the `Accept` header; empty for none.
    std::string key;         ///< Idempotency key; empty for none.
    std::string token;       ///< Flow token; empty for none.
    std::string lastEventId; ///< Value of the `Last-Event-ID` header; empty for none.
    unsigned deadlineMs = 0; ///< Caller's deadline, sent as `Flamingograde-Timeout`; 0: none.
    std::string body;

    /// Serialises the request for HTTP/1.1.
    [[nodiscard]] auto toBytes() const -> std::string;
};

} // namespace standins
