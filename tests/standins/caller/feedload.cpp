#include "standins/caller/feedload.h"

#include <string>
#include <utility>

namespace standins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr double defaultRate = 2000; ///< Feeds opened per second.
constexpr auto silenceCheckPeriod = std::chrono::milliseconds(250);

} // namespace

FeedLoad::FeedLoad(asio::io_context &loop, LoadOptions options)
    : loop(loop), options(std::move(options)), timer(loop), silenceTimer(loop),
      nextDue(Clock::now())
{
    this->scheduleNextOpening();
    this->scheduleSilenceCheck();
}

auto FeedLoad::stop() -> void
{
    this->stopped = true;
    this->timer.cancel();
    for (const auto &flow : this->flows) {
        flow->stop();
    }
    this->notifyIfDone();
}

auto FeedLoad::wait(std::function<void()> done) -> void
{
    this->waiters.push_back(std::move(done));
    this->notifyIfDone();
}

auto FeedLoad::scheduleNextOpening() -> void
{
    if (this->stopped || this->flows.size() >= this->options.flows) {
        return;
    }
    this->timer.expires_at(this->nextDue);
    this->timer.async_wait([this](ErrorCode error) {
        if (!error) {
            this->openDueFeeds();
            this->scheduleNextOpening();
        }
    });
}

auto FeedLoad::scheduleSilenceCheck() -> void
{
    this->silenceTimer.expires_after(silenceCheckPeriod);
    this->silenceTimer.async_wait([this](ErrorCode error) {
        if (error) {
            return;
        }
        const std::chrono::duration<double, std::milli> maxSilence(this->options.silenceMs);
        const auto cutoff = Clock::now() - std::chrono::duration_cast<Clock::duration>(maxSilence);
        for (const auto &flow : this->flows) {
            flow->checkSilence(cutoff);
        }
        this->scheduleSilenceCheck();
    });
}

auto FeedLoad::openDueFeeds() -> void
{
    const double rate = this->options.rate > 0 ? this->options.rate : defaultRate;
    const auto interval =
            std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1) / rate);
    const auto now = Clock::now();
    while (this->flows.size() < this->options.flows && this->nextDue <= now) {
        const std::string path =
                "/" + this->options.name + "/" + std::to_string(this->flows.size());
        this->flows.push_back(std::make_shared<FeedFlow>(this->loop, this->options, this->counts,
                                                         path, [this] { this->notifyIfDone(); }));
        this->flows.back()->open();
        this->nextDue += interval;
    }
}

auto FeedLoad::notifyIfDone() -> void
{
    if (!this->stopped && this->counts.open < this->options.flows) {
        return;
    }
    for (const auto &waiter : std::exchange(this->waiters, {})) {
        waiter();
    }
}

} // namespace standins
