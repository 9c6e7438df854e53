/// The keys of a cell that its former home handed over.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <unordered_map>

namespace flamingograde {

/// Keys by their hash. All are forgotten together.
struct InheritedKeys
{
    std::unordered_map<std::uint64_t, HandedKey> keys;
    MonoTime expires;
};

} // namespace flamingograde
