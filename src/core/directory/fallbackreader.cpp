/// Compares the age of the directory with the limit for this host.
#include "core/directory/fallbackreader.h"

#include "core/blackboard.h"
#include "core/directory/directorylog.h"
#include "core/directory/readerelection.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <chrono>
#include <random>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Time for each host of a zone over which hosts spread their attempts that may fail: a hub says
/// that its own reads fail, or the last read of this host has failed.
constexpr Duration attemptSpacing = 50ms;

/// The same if both hold: the platform is down for all that is known. Hubs try each second.
constexpr Duration retrySpacing = 1000ms;

/// Time over which the hubs of a zone spread their reads, in the order of their ranks.
constexpr Duration hubSpread = 200ms;

/// Time over which the other hosts of a zone spread theirs.
constexpr Duration fedSpread = 400ms;

/// Longest time for an answer of a platform that works, with the time to apply it.
constexpr Duration answerTime = 250ms;

static_assert(config::directoryAgeLimit + hubSpread + config::tickPeriod + answerTime
                      <= config::changeBound,
              "a hub reads in time whatever other hosts do");
static_assert(config::directoryAgeLimitFed + fedSpread + config::tickPeriod + answerTime
                      <= config::changeBound,
              "every other host reads in time whatever its hubs do");

/// Returns how long this hub leaves the read to the hubs that rank before it.
auto hubWait(const Blackboard &board) -> Duration
{
    const auto &hubs = board.links.hubs;
    const auto found = std::find(hubs.begin(), hubs.end(), board.membership.self);
    const auto rank = found - hubs.begin();
    return hubSpread * rank / static_cast<std::ptrdiff_t>(hubs.size());
}

/// Returns whether a connected, answering hub of the zone satisfies `predicate`.
template<typename Predicate>
auto anyHub(const Blackboard &board, Predicate predicate) -> bool
{
    const auto &hubs = board.links.hubs;
    return std::any_of(hubs.begin(), hubs.end(), [&](HostId hub) {
        const auto *record = board.membership.record(hub);
        return record != nullptr && record->connected && !record->unanswered && predicate(*record);
    });
}

/// Returns the longest time for which a host that is no hub waits before it reads.
auto longestWait(const Blackboard &board, bool hasFailed) -> Duration
{
    const auto hosts = board.membership.voters(board.init.self.zone).size();
    const auto count = static_cast<Duration::rep>(std::max<std::size_t>(hosts, 1));
    const auto isFailing = anyHub(board, [](const MemberRecord &hub) { return hub.readsFail; });
    if (hasFailed && isFailing) {
        return retrySpacing * count;
    }
    const Duration spaced = attemptSpacing * count;
    return hasFailed || isFailing ? std::max(fedSpread, spaced) : fedSpread;
}

/// Returns a random duration up to `longest`.
auto randomUpTo(Blackboard &board, Duration longest) -> Duration
{
    std::uniform_int_distribution<Duration::rep> draw(0, longest.count());
    return Duration(draw(board.random));
}

} // namespace

auto FallbackReader::hasHub(const Blackboard &board) -> bool
{
    return !board.links.isHub(board.membership.self)
           && anyHub(board, [](const MemberRecord &) { return true; });
}

auto FallbackReader::isDue(Blackboard &board) -> bool
{
    const auto now = board.now.mono;
    const auto isFed = hasHub(board);
    const auto age = board.freshness.age(now);
    if (age <= (isFed ? config::directoryAgeLimitFed : config::directoryAgeLimit)) {
        this->dueAt.reset();
        this->hasFailed = false;
        return false;
    }
    const auto isHub = board.links.isHub(board.membership.self);
    const auto longest = isHub ? hubWait(board) : longestWait(board, this->hasFailed);
    if (!this->dueAt) {
        this->dueAt = now + (isHub ? longest : randomUpTo(board, longest));
    }
    // A wait that began in an outage, or before this host became a hub, may be too long by now.
    this->dueAt = std::min(*this->dueAt, now + longest);
    if (now < *this->dueAt) {
        return false;
    }
    this->dueAt.reset();
    if (!this->hasFailed) {
        logOverdue(board);
    }
    return true;
}

auto FallbackReader::isElected(const Blackboard &board) -> bool
{
    this->isActive = this->isActive && isDirectoryReader(board);
    return this->isActive;
}

auto FallbackReader::noteRead(bool succeeded) -> void
{
    this->isActive = succeeded;
    this->hasFailed = this->hasFailed || !succeeded;
}

} // namespace flamingograde
