/// Exchange of whole member lists between hosts whose views differ.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstddef>

namespace flamingograde {

class Blackboard;
struct Gossip;

/// Sends the member list to hosts whose view differs, within a rate limit in bytes.
///
/// Each message carries a digest of its sender's view. A newly connected host is sent the list if
/// its first digest differs, any other host once the digests have differed for longer than gossip
/// takes to spread a change. Beyond the limit, a newly connected host of the local zone is still
/// sent the members of that zone.
/// @remarks Not thread safe. Throws nothing.
class ListExchange
{
public:
    /// Compares the sender's digest with the local one, and sends the member list if it is due.
    /// Precondition: `from` is a known member, and the updates in `gossip` were merged.
    auto heard(Blackboard &board, HostId from, const Gossip &gossip) -> void;

private:
    /// Returns whether the rate limit permits sending a whole list now, and deducts it if so.
    auto consumeAllowance(const Blackboard &board) -> bool;

    double allowance = 0; ///< Bytes that may be sent now.
    MonoTime refilledAt;
};

} // namespace flamingograde
