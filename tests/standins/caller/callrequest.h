/// A request as a caller sends it.
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
    std::string host;   ///< The address that it is sent to.
    std::string accept; ///< Empty for none.
    std::string key;    ///< Idempotency key; empty for none.
    std::string token;  ///< Flow token; empty for none.
    std::string lastEventId;
    unsigned deadlineMs = 0; ///< The caller's own deadline; 0: none.
    std::string body;

    /// Returns the bytes of the request.
    [[nodiscard]] auto toBytes() const -> std::string;
};

} // namespace standins
