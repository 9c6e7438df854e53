/// Checks CBOR before it is read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace flamingograde {

/// Returns whether `bytes` are one well-formed CBOR value that can be read without harm: nested
/// at most `depthMax` deep, and with no container said to be larger than the text.
/// @remarks Thread safe. Throws nothing.
[[nodiscard]] auto isSafeCbor(const std::vector<std::uint8_t> &bytes, std::size_t depthMax) -> bool;

} // namespace flamingograde
