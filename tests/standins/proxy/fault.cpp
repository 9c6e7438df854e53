#include "standins/proxy/fault.h"

#include <stdexcept>

namespace standins {

NLOHMANN_JSON_SERIALIZE_ENUM(FaultKind, { { FaultKind::Unknown, nullptr },
                                          { FaultKind::Cut, "cut" },
                                          { FaultKind::Silence, "silence" },
                                          { FaultKind::SilenceOpen, "silence_open" },
                                          { FaultKind::Delay, "delay" },
                                          { FaultKind::Lose, "lose" },
                                          { FaultKind::Slow, "slow" } })

auto Fault::fromJson(const Json &json) -> Fault
{
    const std::vector<std::string> any;
    Fault fault;
    fault.kind = json.at("kind").get<FaultKind>();
    if (fault.kind == FaultKind::Unknown) {
        throw std::invalid_argument("unknown fault kind");
    }
    fault.from = json.value("from", any);
    fault.to = json.value("to", any);
    fault.links = json.value("links", any);
    fault.bothWays = json.value("both_ways", false);
    fault.delay = std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double, std::milli>(json.value("ms", 0.0)));
    fault.bytesPerSecond = json.value("bytes_per_s", 0.0);
    if (fault.kind == FaultKind::Slow && fault.bytesPerSecond <= 0) {
        throw std::invalid_argument("fault kind slow requires bytes_per_s greater than 0");
    }
    return fault;
}

} // namespace standins
