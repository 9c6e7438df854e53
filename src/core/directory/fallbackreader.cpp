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

/// Time over which the hubs of a zone spread their reads, in the order of their ranks.
constexpr Duration hubSpread = 200ms;

/// Time over which the other hosts of a zone spread their first reads.
constexpr Duration firstSpread = 400ms;

/// Time over which they spread the next ones, which follow a failed read.
constexpr Duration retrySpread = 1000ms;

/// Longest time for an answer of a platform that works, with the time to apply it.
constexpr Duration answerTime = 250ms;

static_assert(config::directoryAgeLimit + hubSpread + config::tickPeriod + answerTime
                      <= config::changeBound,
              "a hub reads in time whatever other hosts do");
static_assert(config::directoryAgeLimitFed + firstSpread + config::tickPeriod + answerTime
                      <= config::changeBound,
              "every other host reads in time whatever its hubs do");
static_assert(config::directoryReadMargin + config::directoryRetryMax + retrySpread
                              + config::tickPeriod + 2 * answerTime
                      <= config::undisturbedAfter,
              "a host whose reads failed has read again when it counts as undisturbed");
static_assert(config::directoryWatchWait + config::directoryReadMargin + config::directoryRetryMin
                              + retrySpread + config::tickPeriod + 2 * answerTime
                      <= config::undisturbedAfter,
              "so has one whose watch was lost");

/// Returns how long this hub leaves the read to the hubs that rank before it.
auto hubWait(const Blackboard &board) -> Duration
{
    const auto &hubs = board.links.hubs;
    const auto found = std::find(hubs.begin(), hubs.end(), board.membership.self);
    const auto rank = found - hubs.begin();
    return hubSpread * rank / static_cast<std::ptrdiff_t>(hubs.size());
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
    const auto &hubs = board.links.hubs;
    const auto isAnswering = [&](HostId hub) {
        const auto *record = board.membership.record(hub);
        return record != nullptr && record->connected && !record->unanswered;
    };
    return !board.links.isHub(board.membership.self)
           && std::any_of(hubs.begin(), hubs.end(), isAnswering);
}

auto FallbackReader::isDue(Blackboard &board) -> bool
{
    const auto now = board.now.mono;
    const auto limit = hasHub(board) ? config::directoryAgeLimitFed : config::directoryAgeLimit;
    if (board.freshness.age(now) <= limit) {
        this->dueAt.reset();
        this->hasFailed = false;
        this->isProbed = false;
        return false;
    }
    if (!this->isProbed && now < this->turn(board)) {
        return false;
    }
    this->dueAt.reset();
    if (!this->hasFailed) {
        logOverdue(board);
    }
    return true;
}

auto FallbackReader::turn(Blackboard &board) -> MonoTime
{
    const auto now = board.now.mono;
    const auto isHub = board.links.isHub(board.membership.self);
    const auto spread = this->hasFailed ? retrySpread : firstSpread;
    const auto longest = isHub ? hubWait(board) : spread;
    if (!this->dueAt) {
        this->dueAt = now + (isHub ? longest : randomUpTo(board, longest));
    }
    // A wait that began before this host became a hub may be too long by now.
    this->dueAt = std::min(*this->dueAt, now + longest);
    return *this->dueAt;
}

auto FallbackReader::needsProbe(const Blackboard &board) const -> bool
{
    const auto isRead =
            board.directory.revision().isValid() && board.freshness.isCurrent(board.now.mono);
    return isRead && this->hasFailed && !this->isProbed && !isDirectoryReader(board);
}

auto FallbackReader::isElected(const Blackboard &board) -> bool
{
    this->isActive = this->isActive && isDirectoryReader(board);
    return this->isActive;
}

auto FallbackReader::noteRead(bool succeeded) -> void
{
    this->isActive = succeeded;
    this->isProbed = false;
    this->hasFailed = this->hasFailed || !succeeded;
}

} // namespace flamingograde
