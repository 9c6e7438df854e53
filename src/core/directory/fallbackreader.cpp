/// Schedules directory reads in place of the zone's hubs.
#include "core/directory/fallbackreader.h"

#include "core/blackboard.h"
#include "core/directory/readerelection.h"
#include "core/membership/ownzone.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <chrono>
#include <random>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Mean time between two read attempts in a zone. An attempt at a platform that does not answer
/// takes 0.7 s to fail. If the platform rejects only the zone's three hubs, the zone hears from it
/// again after one such interval.
constexpr Duration attemptSpacing = 250ms;

/// Returns whether a connected, answering hub of the zone satisfies `predicate`.
template<typename Predicate>
auto anyConnectedHub(const Blackboard &board, Predicate predicate) -> bool
{
    return std::any_of(board.links.hubs.begin(), board.links.hubs.end(), [&](HostId hub) {
        const auto *record = board.membership.record(hub);
        return record != nullptr && record->connected && !record->unanswered && predicate(*record);
    });
}

/// Returns whether no other host reads the directory on behalf of this one.
auto isFallbackNeeded(const Blackboard &board, Duration staleAfter) -> bool
{
    const auto age = board.config.platformAge(board.now.mono);
    const auto anyHubReads =
            anyConnectedHub(board, [](const MemberRecord &record) { return !record.readsFail; });
    return age > staleAfter || (!anyHubReads && age > config::directorySilence);
}

/// Returns a random wait; its upper bound grows with the number of hosts in the zone.
auto randomWait(Blackboard &board) -> Duration
{
    const auto hosts = board.membership.voters(board.init.self.zone).size();
    const auto longestWait =
            attemptSpacing * static_cast<Duration::rep>(std::max<std::size_t>(hosts, 1));
    std::uniform_int_distribution<Duration::rep> draw(0, Duration(longestWait).count());
    return Duration(draw(board.random));
}

} // namespace

auto FallbackReader::hasHub(const Blackboard &board) -> bool
{
    return !board.links.isHub(board.membership.self)
           && anyConnectedHub(board, [](const MemberRecord &) { return true; });
}

auto FallbackReader::isHubTakeover(const Blackboard &board) -> bool
{
    return board.links.isHub(board.membership.self)
           && board.config.platformAge(board.now.mono) > config::directorySilence
           && anyConnectedHub(board, [](const MemberRecord &record) { return record.readsFail; });
}

auto FallbackReader::isDue(Blackboard &board, Duration staleAfter) -> bool
{
    if (this->isActive) {
        this->isActive = isDirectoryReader(board);
        return this->isActive;
    }
    if (!isFallbackNeeded(board, staleAfter)) {
        this->dueAt.reset();
        return false;
    }
    if (!this->dueAt) {
        this->dueAt = board.now.mono + randomWait(board);
    }
    if (board.now.mono < *this->dueAt) {
        return false;
    }
    this->dueAt.reset();
    return true;
}

} // namespace flamingograde
