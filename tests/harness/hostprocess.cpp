#include "harness/hostprocess.h"

#include <fstream>

namespace harness {

HostProcess::HostProcess(Loop &loop, std::string name, const std::filesystem::path &settings,
                         const std::filesystem::path &errorFile, std::function<void()> handler)
    : hostName(std::move(name)), logFile(errorFile), onEvent(std::move(handler)),
      child(loop, { programPath("flamingograded"), { "--config", settings.string() }, errorFile },
            [this](const std::string &line) { this->onLine(line); })
{}

auto HostProcess::onLine(const std::string &line) -> void
{
    nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object()) {
        std::ofstream(this->logFile, std::ios::app) << line << '\n';
        return;
    }
    const auto kind = event.value("event", "");
    if (kind == "ready") {
        this->ready = std::move(event);
    } else if (kind == "listen") {
        this->boundAddresses[event.at("address")] = event.at("bound");
    } else if (kind == "unlisten") {
        this->boundAddresses.erase(event.at("address").get<std::string>());
    } else if (kind == "stopped") {
        this->stopped = std::move(event);
    }
    this->onEvent();
}

} // namespace harness
