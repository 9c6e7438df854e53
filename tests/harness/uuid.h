/// Idempotency keys that contain their time of creation.
#pragma once

#include "harness/loop.h"

#include <string>

namespace harness {

/// Returns a new UUIDv7 with a time stamp that is `age` in the past.
/// @remarks The random bits come from a generator with a fixed seed.
[[nodiscard]] auto makeUuid7(Millis age) -> std::string;

} // namespace harness
