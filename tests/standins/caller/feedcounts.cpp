#include "standins/caller/feedcounts.h"

namespace standins {

auto FeedCounts::toJson() const -> Json
{
    return { { "opened", this->opened },
             { "open", this->open },
             { "openings", this->openings },
             { "open_failures", this->openFailures },
             { "refused", this->refused },
             { "events", this->events },
             { "lost_events", this->lostEvents },
             { "repeated_events", this->repeatedEvents },
             { "cut_events", this->cutEvents },
             { "broken_flows", this->brokenFlows },
             { "moved", this->moved },
             { "silent", this->silent },
             { "restarted", this->restarted },
             { "upstream_changes", this->upstreamChanges },
             { "misdelivered", this->misdelivered },
             { "by_upstream", this->byUpstream },
             { "gap_ms", this->gapMs.toJson() } };
}

} // namespace standins
