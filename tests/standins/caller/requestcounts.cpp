#include "standins/caller/requestcounts.h"

namespace standins {

auto RequestCounts::toJson() const -> Json
{
    return { { "sent", this->sent },
             { "attempts", this->attempts },
             { "answered", this->answered },
             { "refused", this->refused },
             { "refusals", this->refusals },
             { "refused_total", this->refusedTotal },
             { "unanswered", this->unanswered },
             { "timeouts", this->timeouts },
             { "broken", this->broken },
             { "stale_connections", this->staleConnections },
             { "incomplete_answers", this->incompleteAnswers },
             { "crossed", this->crossed },
             { "misdelivered", this->misdelivered },
             { "by_upstream", this->byUpstream },
             { "latency_ms", this->latencyMs.toJson() } };
}

} // namespace standins
