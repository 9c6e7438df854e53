/// What a home remembers of one key.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace flamingograde {

/// A key's first request, its result and the repeats that wait for it.
struct KeyRecord
{
    KeyState state = KeyState::Unseen; ///< `Unseen` while the first request still waits here.
    ExchangeId first;                  ///< The request that runs or will run.
    std::uint32_t attempt = 0;         ///< Of the `Dispatch`.
    WallTime dispatched;               ///< When it was dispatched; orders what is forgotten.
    MonoTime expires;                  ///< When it may be forgotten.
    std::vector<ExchangeId> attached;  ///< Repeats that wait for the first one's answer.
    std::shared_ptr<const std::string> answer; ///< Null where none is kept.
};

} // namespace flamingograde
