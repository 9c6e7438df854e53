/// One HTTP GET, for the admin pages of hosts.
#pragma once

#include "harness/loop.h"

#include <tl/expected.hpp>

#include <functional>
#include <string>

namespace harness {

/// An answer.
struct HttpReply
{
    int status = 0;
    std::string body;
};

using HttpResult = tl::expected<HttpReply, std::string>; ///< Or what went wrong.

inline constexpr Millis httpLimit { 5000 }; ///< Longest wait for an admin page.

/// Starts a GET of `target` at `address` ("IP:PORT"); `onDone` is called once from the loop.
auto startGet(Loop &loop, const std::string &address, const std::string &target, Millis limit,
              std::function<void(HttpResult)> onDone) -> void;

/// Gets `target` at `address` and waits for it.
auto httpGet(Loop &loop, const std::string &address, const std::string &target,
             Millis limit = httpLimit) -> HttpResult;

} // namespace harness
