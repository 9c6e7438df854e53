/// Selects all hosts of a small fleet; in a large one those of the zone and a few per other zone.
#include "core/membership/meshlinks.h"

#include "core/blackboard.h"
#include "core/membership/ownzone.h"
#include "core/rendezvous.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <map>

namespace flamingograde {

auto MeshLinks::wants(HostId host) const -> bool
{
    return std::binary_search(this->chosen.begin(), this->chosen.end(), host);
}

auto MeshLinks::choose(const Blackboard &board) -> void
{
    const auto &records = board.membership.records();
    if (this->chosenVersion == board.membership.version() && this->chosenSize == records.size()) {
        return;
    }
    this->chosenVersion = board.membership.version();
    this->chosenSize = records.size();
    this->chosen.clear();
    const auto isSmallFleet = records.size() <= config::flatMembershipHosts;
    std::map<ZoneId, std::multimap<double, HostId>> rankedByZone;
    const auto self = board.membership.self;
    for (const auto &[id, record] : records) {
        if (id == self) {
            continue;
        }
        if (isSmallFleet || isInOwnZone(board, record)) {
            this->chosen.push_back(id);
        } else if (record.member.state != MemberState::Dead) {
            rankedByZone[record.member.zone].emplace(-rendezvousScore(self.value(), { id.value() }),
                                                     id);
        }
    }
    for (const auto &[zone, ranked] : rankedByZone) {
        std::size_t linksToZone = 0;
        for (const auto &[score, id] : ranked) {
            if (linksToZone++ == config::bridgesPerZone) {
                break;
            }
            this->chosen.push_back(id);
        }
    }
    std::sort(this->chosen.begin(), this->chosen.end());
}

} // namespace flamingograde
