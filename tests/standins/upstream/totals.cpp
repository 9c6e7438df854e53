#include "standins/upstream/totals.h"

#include <algorithm>

namespace standins {

auto Totals::add(const Totals &other) -> void
{
    this->runs += other.runs;
    this->misdirected += other.misdirected;
    this->shed += other.shed;
    this->overSlots += other.overSlots;
    this->overConnections += other.overConnections;
    this->cancelled += other.cancelled;
    this->expired += other.expired;
    this->feedsOpen += other.feedsOpen;
    this->feedsOpened += other.feedsOpened;
    this->uploads += other.uploads;
    this->bodyBytes += other.bodyBytes;
    this->healthReads += other.healthReads;
    this->runningMax = std::max(this->runningMax, other.runningMax);
}

auto Totals::toJson() const -> Json
{
    return { { "runs", this->runs },
             { "misdirected", this->misdirected },
             { "shed", this->shed },
             { "over_slots", this->overSlots },
             { "over_connections", this->overConnections },
             { "cancelled", this->cancelled },
             { "expired", this->expired },
             { "feeds_open", this->feedsOpen },
             { "feeds_opened", this->feedsOpened },
             { "uploads", this->uploads },
             { "body_bytes", this->bodyBytes },
             { "health_reads", this->healthReads },
             { "running_max", this->runningMax } };
}

} // namespace standins
