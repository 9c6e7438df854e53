/// One HTTP call to a host's admin address.
#pragma once

#include <flamingograde/address.h>

#include <tl/expected.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace flamingograde::ctl {

/// The methods that admin addresses take.
enum class HttpMethod {
    Get,
    Post
};

/// What is asked.
struct HttpRequest
{
    Address address;
    HttpMethod method = HttpMethod::Get;
    std::string target;                ///< Path and query.
    std::chrono::milliseconds timeout; ///< From connecting to the whole answer.
};

/// What is answered.
struct HttpAnswer
{
    unsigned status = 0;
    std::string body;

    /// Returns whether the status says success. Precondition: none.
    /// @remarks Thread safe.
    [[nodiscard]] auto isGood() const -> bool { return this->status / 100 == 2; }
};

/// Makes the call and waits for its answer.
/// @returns the answer, or why there is none.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto httpCall(const HttpRequest &request) -> tl::expected<HttpAnswer, std::string>;

/// Returns `text` as a value of a query.
/// @remarks Thread safe.
[[nodiscard]] auto percentEncode(std::string_view text) -> std::string;

} // namespace flamingograde::ctl
