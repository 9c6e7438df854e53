/// Look-ups over the members of the fleet.
#include "core/membership/membershipstate.h"

#include "core/rendezvous.h"

#include <flamingograde/config.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Time within which connected hosts send all that they know of the fleet.
constexpr Duration listExchangeGrace = 1s;

/// How long a host that the platform does not list waits for other hosts to make contact.
constexpr Duration unlistedGrace = 5s;

/// Time after a pause within which hosts that started during the pause dial this one.
constexpr Duration resumeGrace = 1500ms;

const std::vector<HostId> noHosts;

/// Returns the hosts of `zone` in `index`; an empty list for an unknown zone.
auto hostsOf(const std::unordered_map<ZoneId, std::vector<HostId>> &index, ZoneId zone)
        -> const std::vector<HostId> &
{
    const auto found = index.find(zone);
    return found == index.end() ? noHosts : found->second;
}

/// Returns a hash of a member's id and incarnation.
auto hashIdentity(const Member &member) -> std::uint64_t
{
    const std::array<std::uint64_t, 2> identity { member.id.value(), member.incarnation };
    return XXH3_64bits(identity.data(), sizeof(identity));
}

} // namespace

auto MembershipState::find(HostId host) const -> const Member *
{
    const auto *found = this->record(host);
    return found == nullptr ? nullptr : &found->member;
}

auto MembershipState::nameOf(HostId host) const -> std::string
{
    const auto *found = this->find(host);
    return found == nullptr ? std::string() : found->name;
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
    return this->winnerOf(cell.value(), zone);
}

auto MembershipState::winnerOf(std::uint64_t key, ZoneId zone) const -> HostId
{
    HostId best;
    double bestScore = 0;
    for (const auto host : this->candidates(zone)) {
        const auto score = rendezvousScore(key, RendezvousNode { host.value() });
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

auto MembershipState::isIsolated(MonoTime now) const -> bool
{
    if (this->notDead <= 1) {
        return false;
    }
    return this->connected == 0 || now - this->lastAnsweredProbeAt > config::pauseThreshold;
}

auto MembershipState::knowsFleet(MonoTime now) const -> bool
{
    const auto sinceResume = now - this->resumedAt;
    if (this->pauses > 0 && sinceResume < resumeGrace) {
        return false;
    }
    if (this->listRead && this->everListedSelf && this->listedAt >= this->resumedAt) {
        return true;
    }
    if (this->lastAnsweredProbeAt >= this->resumedAt && sinceResume >= listExchangeGrace) {
        return true;
    }
    return sinceResume >= unlistedGrace && (this->listRead || this->hasSeeds);
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

auto MembershipState::digest() -> std::uint32_t
{
    if (!std::exchange(this->digestStale, false)) {
        return this->cachedDigest;
    }
    std::uint64_t sum = 0;
    for (const auto &[id, record] : this->byId) {
        const auto isInDigest =
                !this->digestZone.isValid() || record.member.zone == this->digestZone;
        if (isInDigest && record.member.state != MemberState::Dead) {
            sum += hashIdentity(record.member);
        }
    }
    constexpr auto halfBits = 32U;
    const auto folded = static_cast<std::uint32_t>(sum ^ (sum >> halfBits));
    this->cachedDigest = std::max(folded, 1U);
    return this->cachedDigest;
}

auto MembershipState::refresh() -> void
{
    if (!this->lookupsStale) {
        return;
    }
    this->lookupsStale = false;
    this->alive = 0;
    this->notDead = 0;
    this->connected = 0;
    std::unordered_map<ZoneId, std::vector<HostId>> newCandidates;
    std::unordered_map<ZoneId, std::vector<HostId>> newVoters;
    for (const auto &[id, record] : this->byId) {
        this->connected += record.connected ? 1 : 0;
        if (record.member.state == MemberState::Dead) {
            continue;
        }
        this->alive += record.member.state <= MemberState::Leaving ? 1 : 0;
        ++this->notDead;
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
    ++this->lookupsVersion;
}

} // namespace flamingograde
