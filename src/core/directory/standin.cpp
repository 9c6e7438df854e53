/// Who tries when, in place of the hubs.
#include "core/directory/standin.h"

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

/// Mean time between two tries of a zone. A try on a silent platform takes 0.7 s to fail; of three
/// hubs that are turned away while others are not, the zone hears again after one of these.
constexpr Duration trySpacing = 250ms;

/// Returns whether a connected hub of the zone satisfies `isSo`.
template<typename Predicate>
auto anyHub(const Blackboard &board, Predicate isSo) -> bool
{
    return std::any_of(board.links.hubs.begin(), board.links.hubs.end(), [&](HostId hub) {
        const auto *record = board.membership.record(hub);
        return record != nullptr && record->connected && !record->unanswered && isSo(*record);
    });
}

/// Returns whether nobody reads for this host.
auto isNeeded(const Blackboard &board, Duration staleAfter) -> bool
{
    const auto age = board.config.platformAge(board.now.mono);
    const auto hubReads =
            anyHub(board, [](const MemberRecord &record) { return !record.readsFail; });
    return age > staleAfter || (!hubReads && age > config::directorySilence);
}

auto drawnWait(Blackboard &board) -> Duration
{
    const auto hosts = board.membership.voters(board.init.self.zone).size();
    const auto longest = trySpacing * static_cast<Duration::rep>(std::max<std::size_t>(hosts, 1));
    std::uniform_int_distribution<Duration::rep> draw(0, Duration(longest).count());
    return Duration(draw(board.random));
}

} // namespace

auto StandIn::hasHub(const Blackboard &board) -> bool
{
    return !board.links.isHub(board.membership.self)
           && anyHub(board, [](const MemberRecord &) { return true; });
}

auto StandIn::isTakeover(const Blackboard &board) -> bool
{
    return board.links.isHub(board.membership.self)
           && board.config.platformAge(board.now.mono) > config::directorySilence
           && anyHub(board, [](const MemberRecord &record) { return record.readsFail; });
}

auto StandIn::isDue(Blackboard &board, Duration staleAfter) -> bool
{
    if (this->stands) {
        this->stands = isDirectoryReader(board);
        return this->stands;
    }
    if (!isNeeded(board, staleAfter)) {
        this->due.reset();
        return false;
    }
    if (!this->due) {
        this->due = board.now.mono + drawnWait(board);
    }
    if (board.now.mono < *this->due) {
        return false;
    }
    this->due.reset();
    return true;
}

} // namespace flamingograde
