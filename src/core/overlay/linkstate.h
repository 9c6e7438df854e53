/// The connections that this host has chosen to keep.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <algorithm>
#include <vector>

namespace flamingograde {

/// Chosen connections. Empty on hosts that connect with all others.
/// @remarks Written by the overlay controller only. Not thread safe.
struct LinkState
{
    std::vector<HostId> hubs;   ///< Hubs of the own zone, the best first; may contain this host.
    std::vector<HostId> wanted; ///< Hosts to keep connections with.
    HostId feed; ///< Host in `wanted` that sends this host changes; invalid on a hub.
    /// Hosts left out of `wanted` because they did not answer; dialled again at intervals.
    std::vector<HostId> unresponsive;

    /// Returns whether `host` is a hub of the own zone. Precondition: none.
    [[nodiscard]] auto isHub(HostId host) const -> bool
    {
        return std::find(this->hubs.begin(), this->hubs.end(), host) != this->hubs.end();
    }

    /// Returns what this host uses a connection with `host` for. Precondition: none.
    [[nodiscard]] auto useOf(HostId host) const -> LinkUse
    {
        if (host == this->feed) {
            return LinkUse::Changes;
        }
        const auto found = std::find(this->wanted.begin(), this->wanted.end(), host);
        return found == this->wanted.end() ? LinkUse::None : LinkUse::Spare;
    }
};

} // namespace flamingograde
