/// HTTP GET requests to the hosts' admin addresses.
#pragma once

#include "harness/loop.h"

#include <tl/expected.hpp>

#include <functional>
#include <string>

namespace harness {

struct HttpResponse
{
    int status = 0;
    std::string body;
};

using HttpResult = tl::expected<HttpResponse, std::string>; ///< The response or an error message.

inline constexpr Millis httpLimit { 5000 }; ///< Default time limit for an admin page.

/// Starts a GET of `target` at `address` ("IP:PORT"). Calls `onDone` exactly once: from the loop,
/// or immediately if the address has no port.
auto startGet(Loop &loop, const std::string &address, const std::string &target, Millis limit,
              std::function<void(HttpResult)> onDone) -> void;

/// Runs a GET of `target` at `address` and waits for the result.
auto httpGet(Loop &loop, const std::string &address, const std::string &target,
             Millis limit = httpLimit) -> HttpResult;

} // namespace harness
