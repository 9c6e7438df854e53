/// What one host knows of another.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/ids.h>

#include <cstdint>
#include <string>

namespace flamingograde {

/// The state of a member, in the order in which one overrides another at the same incarnation.
enum class MemberState : std::uint8_t {
    Alive,   ///< Answers, or was announced.
    Leaving, ///< Stops in order: gets no new work, finishes what it has.
    Suspect, ///< Did not answer; not yet given up.
    Dead,    ///< Given up, refused a connection, or said goodbye.
};

/// A host of the system as the membership protocol carries it.
struct Member
{
    HostId id;                     ///< Made from `name`.
    std::string name;              ///< Unique in the fleet.
    ZoneId zone;                   ///< Made from `zoneName`.
    std::string zoneName;          ///< Its availability zone.
    Address peer;                  ///< Where it takes peer connections (websocket).
    Address relay;                 ///< Where it takes relayed requests (HTTP).
    std::uint64_t incarnation = 0; ///< Raised by the host itself at each start and refutation.
    MemberState state = MemberState::Alive;
    std::uint32_t linkMbps = 0; ///< Bandwidth of its link, in Mbit/s; 0: not known.
};

} // namespace flamingograde
