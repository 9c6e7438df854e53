/// Encoding of the messages between hosts as CBOR.
#pragma once

#include <flamingograde/message.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingograde {

/// Openings per second are sent as whole numbers in this fraction of one.
inline constexpr double demandScale = 1000;

/// Encodes `message` as one CBOR map.
/// @remarks Thread safe.
[[nodiscard]] auto encode(const Message &message) -> std::vector<std::uint8_t>;

/// Decodes a message from one CBOR map.
/// @param bytes untrusted input from another host. Precondition: none.
/// @returns the message, or a description of the first error in it.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto decode(const std::vector<std::uint8_t> &bytes)
        -> tl::expected<Message, std::string>;

} // namespace flamingograde
