/// Idempotency keys of a cell that its former home handed over.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <unordered_map>

namespace flamingograde {

/// The keys handed over for one cell, by their hash. All expire together.
struct InheritedKeys
{
    std::unordered_map<std::uint64_t, DispatchedKey> keys;
    MonoTime expires;
};

} // namespace flamingograde
