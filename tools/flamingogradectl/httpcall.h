/// Makes one HTTP call to a host's admin address.
#pragma once

#include <flamingograde/address.h>

#include <tl/expected.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace flamingograde::ctl {

/// The HTTP methods that admin addresses accept.
enum class HttpMethod {
    Get,
    Post
};

/// A request to an admin address.
struct HttpRequest
{
    Address address;
    HttpMethod method = HttpMethod::Get;
    std::string target;                ///< Path and query string.
    std::chrono::milliseconds timeout; ///< Of the whole call, connecting included.
};

/// The response to a request.
struct HttpResponse
{
    unsigned status = 0;
    std::string body;

    /// Returns whether the status is 2xx. Precondition: none.
    /// @remarks Thread safe.
    [[nodiscard]] auto isSuccess() const -> bool { return this->status / 100 == 2; }
};

/// Sends the request and blocks until the response is complete or the timeout expires.
/// @returns the response, or an error message.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto httpCall(const HttpRequest &request) -> tl::expected<HttpResponse, std::string>;

/// Returns `text` percent-encoded for use as a value in a query string.
/// @remarks Thread safe.
[[nodiscard]] auto percentEncode(std::string_view text) -> std::string;

} // namespace flamingograde::ctl
