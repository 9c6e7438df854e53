/// Messages between hosts as CBOR.
#pragma once

#include <flamingograde/message.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingograde {

/// Returns `message` as one CBOR map.
/// @remarks Thread safe.
[[nodiscard]] auto encode(const Message &message) -> std::vector<std::uint8_t>;

/// Reads one CBOR map.
/// @param bytes what another host sent; anything.
/// @returns the message, or what is wrong with it.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto decode(const std::vector<std::uint8_t> &bytes)
        -> tl::expected<Message, std::string>;

} // namespace flamingograde
