/// An operator's order to evacuate an availability zone.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/revision.h>

#include <string>

namespace flamingograde {

/// The evacuation state of an availability zone. Upstreams of an evacuated zone get no new flows.
struct ZoneEvacuation
{
    ZoneId zone;          ///< Derived from `zoneName`.
    std::string zoneName; ///< As in the order; the zone may have no upstreams.
    Revision at;          ///< Revision of the order, or of its removal.
    bool inForce = true;  ///< False: the evacuation has ended.
};

} // namespace flamingograde
