/// What a home remembers about one idempotency key.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace flamingograde {

/// The first request of a key, its result and the repeats that wait for that result.
struct KeyRecord
{
    KeyState state = KeyState::Unseen; ///< `Unseen` until the first request is dispatched.
    ExchangeId first;          ///< The request that runs or will run; invalid once it ended.
    std::uint32_t attempt = 0; ///< Attempt number of the `Dispatch`.
    WallTime dispatched;       ///< Dispatch time; sets the order in which records are forgotten.
    MonoTime expires;          ///< Earliest time at which the record may be forgotten.
    std::vector<ExchangeId> attached;          ///< Repeats that wait for the answer of `first`.
    std::shared_ptr<const std::string> answer; ///< The stored answer; null if none is stored.
};

} // namespace flamingograde
