/// Compares what reads and other hosts show with what a current directory needs.
#include "core/directory/directoryfreshness.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

auto DirectoryFreshness::begin(MonoTime now, MonoTime needed) -> void
{
    this->outdatedAt = now;
    this->neededUntil = needed;
    this->confirmed = false;
    this->report.reset();
}

auto DirectoryFreshness::noteRead(MonoTime until) -> void
{
    this->advanceTo(until);
}

auto DirectoryFreshness::noteHost(Revision has, MonoTime until) -> void
{
    if (!this->report || this->report->until <= until) {
        this->report = Report { has, until };
    }
}

auto DirectoryFreshness::advance(Revision own) -> void
{
    if (!this->report || !own.isValid() || own < this->report->has) {
        return;
    }
    this->advanceTo(this->report->until);
    this->report.reset();
}

auto DirectoryFreshness::advanceTo(MonoTime until) -> void
{
    this->completeUntil = std::max(this->completeUntil.value_or(until), until);
    this->confirmed = this->confirmed || until >= this->neededUntil;
}

auto DirectoryFreshness::age(MonoTime now) const -> Duration
{
    return this->completeUntil ? now - *this->completeUntil : Duration::max();
}

auto DirectoryFreshness::isCurrent(MonoTime now) const -> bool
{
    return this->confirmed || now - this->outdatedAt >= config::directoryConfirmWait;
}

auto DirectoryFreshness::areRemovalsCertain(MonoTime now, Duration reappearTime) const -> bool
{
    const auto isFresh = this->age(now) <= config::directoryStale;
    const auto isSettled = !this->outageEndedAt || now - *this->outageEndedAt >= reappearTime;
    return isFresh && isSettled;
}

} // namespace flamingograde
