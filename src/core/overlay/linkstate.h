/// Which connections this host keeps.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <algorithm>
#include <vector>

namespace flamingograde {

/// The choice of connections. Empty on hosts that connect with all others.
/// @remarks Written by the overlay controller only. Not thread safe.
struct LinkState
{
    std::vector<HostId> hubs;   ///< Of the own zone, the best first; this host may be among them.
    std::vector<HostId> wanted; ///< Hosts to be connected with.
    HostId feed;                ///< Of `wanted`: sends this host what is new; invalid on a hub.
    std::vector<HostId>
            missed; ///< Would be in `wanted` if they answered; tried again now and then.

    /// Returns whether `host` is a hub of the own zone. Precondition: none.
    [[nodiscard]] auto isHub(HostId host) const -> bool
    {
        return std::find(this->hubs.begin(), this->hubs.end(), host) != this->hubs.end();
    }

    /// Returns what this host keeps the connection with `host` for. Precondition: none.
    [[nodiscard]] auto useOf(HostId host) const -> LinkUse
    {
        if (host == this->feed) {
            return LinkUse::Feed;
        }
        const auto found = std::find(this->wanted.begin(), this->wanted.end(), host);
        return found == this->wanted.end() ? LinkUse::None : LinkUse::Spare;
    }
};

} // namespace flamingograde
