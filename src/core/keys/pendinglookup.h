/// A key lookup that was sent to a former home.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

namespace flamingograde {

/// A `KeyLookup` whose `KeyReport` has not arrived yet.
struct PendingLookup
{
    ExchangeId exchange; ///< The request whose key is looked up.
    HostId host;         ///< The former home to which the lookup was sent.
    MonoTime sentAt;
};

} // namespace flamingograde
