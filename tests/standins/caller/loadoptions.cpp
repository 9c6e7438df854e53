#include "standins/caller/loadoptions.h"

#include <stdexcept>

namespace standins {

NLOHMANN_JSON_SERIALIZE_ENUM(LoadKind, { { LoadKind::Unknown, nullptr },
                                         { LoadKind::Request, "request" },
                                         { LoadKind::Feed, "feed" },
                                         { LoadKind::Upload, "upload" } })

auto LoadOptions::fromJson(const Json &json) -> LoadOptions
{
    LoadOptions options;
    options.name = json.at("name").get<std::string>();
    options.address = json.at("address").get<std::string>();
    options.host = json.value("host", options.address);
    options.kind = json.value("kind", options.kind);
    if (options.kind == LoadKind::Unknown) {
        throw std::invalid_argument("unknown load kind: expected request, feed or upload");
    }
    options.rate = json.value("rate", options.rate);
    options.count = json.value("count", options.count);
    options.flows = json.value("flows", options.flows);
    options.idempotent = json.value("idempotent", options.kind != LoadKind::Upload);
    options.keyed = json.value("keyed", options.idempotent ? 0.0 : 1.0);
    options.timeoutMs = json.value("timeout_ms", options.timeoutMs);
    options.bodyBytes = json.value("body_bytes", options.bodyBytes);
    options.retries = json.value("retries", options.retries);
    if (json.contains("source")) {
        options.source = asio::ip::make_address(json.at("source").get<std::string>());
    }
    options.tries = json.value("tries", options.tries);
    options.reuse = json.value("reuse", options.reuse);
    options.deadlineMs = json.value("deadline_ms", options.deadlineMs);
    options.silenceMs = json.value("silence_ms", options.silenceMs);
    options.poisson = json.value("poisson", options.poisson);
    options.keyZone = json.value("key_zone", options.keyZone);
    options.service = json.value("service", options.service);
    const bool unlimited = options.kind != LoadKind::Feed && options.count == 0;
    if (unlimited && options.rate <= 0) {
        throw std::invalid_argument(
                "a load of requests or uploads without a count needs a rate above 0");
    }
    return options;
}

} // namespace standins
