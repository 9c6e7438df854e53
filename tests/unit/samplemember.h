/// Creates members for tests.
#pragma once

#include <flamingograde/member.h>

#include <string>

namespace flamingograde {

/// Returns a member with incarnation 1.
inline auto sampleMember(const std::string &name, const std::string &zone) -> Member
{
    Member made;
    made.name = name;
    made.id = HostId::ofName(name);
    made.zoneName = zone;
    made.zone = ZoneId::ofName(zone);
    made.incarnation = 1;
    return made;
}

} // namespace flamingograde
