/// Idempotency keys with a time of birth.
#pragma once

#include "harness/loop.h"

#include <string>

namespace harness {

/// Returns a new UUIDv7 born `age` ago. @remarks Random bits come from a fixed seed.
[[nodiscard]] auto makeUuid7(Millis age) -> std::string;

} // namespace harness
