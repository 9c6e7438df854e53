/// Membership entry of a host.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/ids.h>

#include <cstdint>
#include <string>

namespace flamingograde {

/// The state of a member. Among reports with the same incarnation, a state overrides those that are
/// declared before it here, whichever report was made first.
enum class MemberState : std::uint8_t {
    Alive,   ///< The host answers, or was announced.
    Leaving, ///< The host is in an orderly stop: it gets no new work and finishes the rest.
    Suspect, ///< The host did not answer and may be dead.
    Dead,    ///< The host was silent for too long, refused connections, or announced its end.
};

/// A host of the fleet, as the membership protocol carries it.
struct Member
{
    HostId id;                     ///< Made from `name`.
    std::string name;              ///< Unique in the fleet.
    ZoneId zone;                   ///< Made from `zoneName`.
    std::string zoneName;          ///< Its availability zone.
    Address peer;                  ///< Where it accepts peer connections (websocket).
    Address relay;                 ///< Where it accepts relayed requests (HTTP).
    std::uint64_t incarnation = 0; ///< Raised by the host itself at each start and refutation.
    MemberState state = MemberState::Alive;
    std::uint32_t linkMbps = 0; ///< Bandwidth of its link, in Mbit/s; 0: unknown.
};

} // namespace flamingograde
