/// Measures the rate of a read and compares it with the usable one.
#include "core/directory/readthrottle.h"

#include "core/blackboard.h"
#include "core/directory/readerelection.h"

#include <algorithm>
#include <chrono>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// Time over which the rate is measured. An answer that needs no longer is never stopped.
constexpr Duration rateWindow = 150ms;

/// An answer that is expected to be complete within this time is read to its end: other hosts
/// would take as long to send the directory.
constexpr Duration waitForRestMax = 500ms;

/// Rate in bytes per second with which a host reads on whatever its own link could carry.
constexpr double fullRate = 12'500'000;

constexpr double bytesPerMegabit = 125'000;

/// Slow windows after which the candidates of zones stop, too, unless they are elected readers.
constexpr unsigned candidateWindows = 4;

constexpr Duration pauseMin = 2s;      ///< First pause after a stopped read.
constexpr unsigned pauseDoublings = 2; ///< Times that the pause doubles.

/// Returns the rate in bytes per second below which the platform, not this host's own link,
/// determines how long a read takes.
auto usableRate(const Blackboard &board) -> double
{
    const auto ownLink = board.init.self.linkMbps * bytesPerMegabit;
    return ownLink > 0 ? std::min(fullRate, ownLink / 2) : fullRate;
}

} // namespace

auto ReadThrottle::begin() -> void
{
    this->windowBegan.reset();
    this->windowBytes = 0;
    this->answerBytes = 0;
    this->answerSize = 0;
    this->slowWindows = 0;
}

auto ReadThrottle::noteProgress(std::size_t received, std::size_t size, MonoTime now) -> void
{
    this->windowBegan = this->windowBegan.value_or(now);
    this->windowBytes += received - std::min(received, this->answerBytes);
    this->answerBytes = received;
    this->answerSize = size;
}

auto ReadThrottle::notePage() -> void
{
    this->answerBytes = 0;
    this->answerSize = 0;
}

auto ReadThrottle::isAlmostComplete(double bytesPerSecond) const -> bool
{
    const auto left = static_cast<double>(this->answerSize)
                      - static_cast<double>(std::min(this->answerSize, this->answerBytes));
    const std::chrono::duration<double> limit = waitForRestMax;
    return this->answerSize > 0 && left <= bytesPerSecond * limit.count();
}

auto ReadThrottle::isYieldDue(const Blackboard &board) -> bool
{
    if (!this->windowBegan || board.now.mono - *this->windowBegan < rateWindow) {
        return false;
    }
    const std::chrono::duration<double> elapsed = board.now.mono - *this->windowBegan;
    const auto rate = static_cast<double>(this->windowBytes) / elapsed.count();
    this->windowBegan = board.now.mono;
    this->windowBytes = 0;
    if (rate >= usableRate(board) || this->isAlmostComplete(rate)) {
        return false;
    }
    ++this->slowWindows;
    return this->slowWindows > candidateWindows ? !isDirectoryReader(board)
                                                : !isZoneCandidate(board);
}

auto ReadThrottle::yield() -> Duration
{
    const auto pause = pauseMin * (1U << this->yields);
    this->yields = std::min(this->yields + 1, pauseDoublings);
    return pause;
}

} // namespace flamingograde
