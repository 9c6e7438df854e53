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

/// Mean time between the first attempts of a zone's hosts whose hub says that its own reads fail:
/// the platform may be down, or turn away hubs alone.
constexpr Duration attemptSpacing = 50ms;

/// Mean time between the further attempts of these hosts. Their hubs try again within a second.
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

/// Returns a random duration up to `longest`.
auto randomUpTo(Blackboard &board, Duration longest) -> Duration
{
    std::uniform_int_distribution<Duration::rep> draw(0, longest.count());
    return Duration(draw(board.random));
}

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

/// Returns how long a host that is no hub waits before it reads.
auto fedWait(Blackboard &board, bool hasFailed) -> Duration
{
    const auto hosts = board.membership.voters(board.init.self.zone).size();
    const auto count = static_cast<Duration::rep>(std::max<std::size_t>(hosts, 1));
    if (hasFailed) {
        return randomUpTo(board, retrySpacing * count);
    }
    const auto isFailing = anyHub(board, [](const MemberRecord &hub) { return hub.readsFail; });
    const Duration spaced = attemptSpacing * count;
    return randomUpTo(board, isFailing ? std::max(fedSpread, spaced) : fedSpread);
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
    if (!this->dueAt) {
        const auto isHub = board.links.isHub(board.membership.self);
        this->dueAt = now + (isHub ? hubWait(board) : fedWait(board, this->hasFailed));
    }
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
