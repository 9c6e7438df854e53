/// Look-ups over the members of the fleet.
#include "core/membershipstate.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace flamingograde {

namespace {

const std::vector<HostId> noHosts;

/// Returns the hosts of `zone` in `index`; empty for an unknown zone.
auto hostsOf(const std::unordered_map<ZoneId, std::vector<HostId>> &index, ZoneId zone)
        -> const std::vector<HostId> &
{
    const auto found = index.find(zone);
    return found == index.end() ? noHosts : found->second;
}

} // namespace

auto MembershipState::find(HostId host) const -> const Member *
{
    const auto *found = this->record(host);
    return found == nullptr ? nullptr : &found->member;
}

auto MembershipState::candidates(ZoneId zone) const -> const std::vector<HostId> &
{
    return hostsOf(this->candidatesByZone, zone);
}

auto MembershipState::voters(ZoneId zone) const -> const std::vector<HostId> &
{
    return hostsOf(this->votersByZone, zone);
}

auto MembershipState::homeOf(CellId cell, ZoneId zone) const -> HostId
{
    HostId best;
    double bestScore = 0;
    for (const auto host : this->candidates(zone)) {
        const auto score = rendezvousScore(cell.value(), RendezvousNode { host.value() });
        if (!best.isValid() || score > bestScore) {
            best = host;
            bestScore = score;
        }
    }
    return best;
}

auto MembershipState::isConnected(HostId host) const -> bool
{
    const auto *found = this->record(host);
    return found != nullptr && found->connected;
}

auto MembershipState::aliveCount() const -> std::size_t
{
    const auto isAlive = [](const auto &entry) {
        const auto state = entry.second.member.state;
        return state == MemberState::Alive || state == MemberState::Leaving;
    };
    return static_cast<std::size_t>(std::count_if(this->byId.begin(), this->byId.end(), isAlive));
}

auto MembershipState::connectedCount() const -> std::size_t
{
    const auto isUp = [](const auto &entry) { return entry.second.connected; };
    return static_cast<std::size_t>(std::count_if(this->byId.begin(), this->byId.end(), isUp));
}

auto MembershipState::record(HostId host) -> MemberRecord *
{
    const auto found = this->byId.find(host);
    return found == this->byId.end() ? nullptr : &found->second;
}

auto MembershipState::record(HostId host) const -> const MemberRecord *
{
    const auto found = this->byId.find(host);
    return found == this->byId.end() ? nullptr : &found->second;
}

auto MembershipState::refresh() -> void
{
    std::unordered_map<ZoneId, std::vector<HostId>> newCandidates;
    std::unordered_map<ZoneId, std::vector<HostId>> newVoters;
    this->undead = 0;
    for (const auto &[id, record] : this->byId) {
        if (record.member.state == MemberState::Dead) {
            continue;
        }
        ++this->undead;
        newVoters[record.member.zone].push_back(id);
        if (!record.leaving && record.member.state != MemberState::Leaving) {
            newCandidates[record.member.zone].push_back(id);
        }
    }
    if (newCandidates == this->candidatesByZone && newVoters == this->votersByZone) {
        return;
    }
    this->candidatesByZone = std::move(newCandidates);
    this->votersByZone = std::move(newVoters);
    ++this->changes;
}

} // namespace flamingograde
