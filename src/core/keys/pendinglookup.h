/// A question put to a former home.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

namespace flamingograde {

/// A `KeyLookup` that waits for its `KeyReport`.
struct PendingLookup
{
    ExchangeId exchange; ///< The request whose key is asked for.
    HostId host;         ///< Who was asked.
    MonoTime asked;
};

} // namespace flamingograde
