/// Flow tokens. A caller sends its token with each request, so that any host steers the flow to the
/// same upstream.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/tokenkey.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingograde {

/// Content of a token.
struct FlowToken
{
    ServiceId service;
    UpstreamId upstream;
    FlowId flow;
};

/// Reason for rejecting a token.
enum class TokenFault : std::uint8_t {
    Malformed,  ///< Wrong length, not base64url or another token version.
    UnknownKey, ///< The table has no key with the token's key id; it may have been removed.
    Forged,     ///< The authentication code does not match the content.
};

/// Length of a token's text: 42 bytes in base64url.
inline constexpr std::size_t tokenTextBytes = 56;

/// Returns the text of `token`, authenticated with `key`.
/// @remarks Thread safe.
[[nodiscard]] auto signToken(const FlowToken &token, const TokenKey &key) -> std::string;

/// Returns the content of a token's text if the key it names is one of `keys` and authenticates it.
/// @remarks Thread safe. The calling code has to check the service.
[[nodiscard]] auto verifyToken(std::string_view text, const std::vector<TokenKey> &keys)
        -> tl::expected<FlowToken, TokenFault>;

/// Returns the key that signs new tokens, or null if there is none.
/// @remarks Thread safe.
[[nodiscard]] auto signingKey(const std::vector<TokenKey> &keys) -> const TokenKey *;

} // namespace flamingograde
