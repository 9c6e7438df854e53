/// Validation of untrusted CBOR before it is decoded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace flamingograde {

/// Returns whether `bytes` hold exactly one well-formed CBOR value that is safe to decode: arrays
/// and maps are nested at most `depthMax` deep, and none declares more elements than `bytes` has
/// bytes.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto isSafeCbor(const std::vector<std::uint8_t> &bytes, std::size_t depthMax) -> bool;

} // namespace flamingograde
