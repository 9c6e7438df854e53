#include "standins/upstream/upstreamoptions.h"

namespace standins {

auto UpstreamOptions::fromJson(const Json &json) -> UpstreamOptions
{
    UpstreamOptions options;
    options.listen = json.value("listen", options.listen);
    options.name = json.value("name", options.name);
    options.service = json.value("service", options.service);
    options.slots = json.value("slots", options.slots);
    options.queue = json.value("queue", options.queue);
    options.connections = json.value("connections", options.connections);
    options.serviceMs = json.value("service_ms", options.serviceMs);
    options.serviceJitter = json.value("service_jitter", options.serviceJitter);
    options.seed = json.value("seed", options.seed);
    options.eventMs = json.value("event_ms", options.eventMs);
    options.coldMs = json.value("cold_ms", options.coldMs);
    options.answerBytes = json.value("answer_bytes", options.answerBytes);
    options.retryAfter = json.value("retry_after", options.retryAfter);
    return options;
}

} // namespace standins
