/// Flow tokens: what a caller carries so that any host steers its flow to the same upstream.
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

/// What a token says.
struct FlowToken
{
    ServiceId service;
    UpstreamId upstream;
    FlowId flow;
};

/// Why a token is not accepted.
enum class TokenFault : std::uint8_t {
    Malformed,  ///< Not the text of a token of this version.
    UnknownKey, ///< Its key is not, or no longer, in the table.
    Forged,     ///< Its code does not fit its content.
};

/// Length of a token's text: 42 bytes in base64url.
inline constexpr std::size_t tokenTextBytes = 56;

/// Returns the text of `token`, authenticated under `key`.
/// @remarks Thread safe.
[[nodiscard]] auto signToken(const FlowToken &token, const TokenKey &key) -> std::string;

/// Returns the content of a token's text, if one of `keys` authenticates it.
/// @remarks Thread safe. Whether the service is the right one is the caller's to check.
[[nodiscard]] auto verifyToken(std::string_view text, const std::vector<TokenKey> &keys)
        -> tl::expected<FlowToken, TokenFault>;

/// Returns the key that signs, or null where there is none.
/// @remarks Thread safe.
[[nodiscard]] auto signingKey(const std::vector<TokenKey> &keys) -> const TokenKey *;

} // namespace flamingograde
