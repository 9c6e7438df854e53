/// Builds the heads (request line and headers) of outgoing requests.
#pragma once

#include <flamingograde/action.h>

#include <string>
#include <string_view>

namespace flamingograde::net {

struct Request;

/// Returns the head of a request to an upstream. Thread safe.
[[nodiscard]] auto requestHead(const Dispatch &action, const Request &request) -> std::string;

/// Returns the head of a request relayed by the host called `from`. Thread safe.
[[nodiscard]] auto requestHead(const Relay &action, const Request &request, std::string_view from)
        -> std::string;

/// Returns the head of a request that opens a feed after the event `lastEventId`. Thread safe.
[[nodiscard]] auto requestHead(const OpenFeed &action, const Request &request,
                               std::string_view lastEventId) -> std::string;

/// Returns the head of a plain GET. Thread safe.
[[nodiscard]] auto getRequestHead(std::string_view host, std::string_view path) -> std::string;

} // namespace flamingograde::net
