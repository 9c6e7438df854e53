/// Dates the answers to reads of the directory.
#include "core/directory/directorycall.h"

#include <flamingograde/config.h>

namespace flamingograde {

auto DirectoryCall::begin(const ReadDirectory &asked, MonoTime now) -> void
{
    this->request = asked;
    this->began = now;
    this->deadline = now + asked.wait + 2 * config::directoryReadMargin;
    this->pending = true;
    if (!asked.after.isValid()) {
        this->wholeBegan = this->wholeBegan.value_or(now);
    }
}

auto DirectoryCall::extend(MonoTime now) -> void
{
    this->deadline = now + 2 * config::directoryReadMargin;
}

auto DirectoryCall::completeUntil(const DirectoryRead &answer, MonoTime now) const
        -> std::optional<MonoTime>
{
    if (answer.stale) {
        return std::nullopt;
    }
    if (answer.update.isWhole()) {
        return this->wholeBegan.value_or(this->began);
    }
    const auto hasChanges = answer.update.after < answer.update.upTo;
    const auto waited = now - this->began >= this->request.wait;
    return !hasChanges && waited ? this->began + this->request.wait : this->began;
}

} // namespace flamingograde
