#include "harness/metricstext.h"

#include <sstream>

namespace harness {

auto parseMetrics(const std::string &text) -> nlohmann::json
{
    auto samples = nlohmann::json::object();
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.rfind(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos) {
            continue;
        }
        const std::string full = line.substr(0, space);
        const std::string name = full.substr(0, full.find('{'));
        const double value = std::stod(line.substr(space + 1));
        samples[name] = samples.value(name, 0.0) + value;
        if (full != name) {
            samples[full] = value;
        }
    }
    return samples;
}

} // namespace harness
