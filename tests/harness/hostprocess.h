/// An entry host under test, as a child process.
#pragma once

#include "harness/loop.h"
#include "harness/process.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace harness {

/// A `flamingograded` process and the events that it reported on its standard output.
/// @remarks Not thread safe.
class HostProcess
{
public:
    /// Starts the daemon with a settings file. Calls `onEvent` after each event that it reports.
    HostProcess(Loop &loop, std::string name, const std::filesystem::path &settings,
                const std::filesystem::path &logFile, std::function<void()> onEvent);

    [[nodiscard]] auto name() const -> const std::string & { return this->hostName; }
    [[nodiscard]] auto isReady() const -> bool { return !this->ready.is_null(); }
    /// Returns the `ready` event with the admin, peer and relay addresses; null until it arrives.
    [[nodiscard]] auto readyEvent() const -> const nlohmann::json & { return this->ready; }
    [[nodiscard]] auto admin() const -> std::string { return this->ready.value("admin", ""); }
    /// Returns the local address at which it listens, by row address.
    [[nodiscard]] auto listeners() const -> const std::map<std::string, std::string> &
    {
        return this->boundAddresses;
    }
    /// Returns the `stopped` event; null until it arrives.
    [[nodiscard]] auto stoppedEvent() const -> const nlohmann::json & { return this->stopped; }
    [[nodiscard]] auto process() -> Process & { return this->child; }
    [[nodiscard]] auto log() const -> const std::filesystem::path & { return this->logFile; }

private:
    auto onLine(const std::string &line) -> void;

    std::string hostName;
    std::filesystem::path logFile;
    std::function<void()> onEvent;
    nlohmann::json ready;
    nlohmann::json stopped;
    std::map<std::string, std::string> boundAddresses;
    Process child;
};

} // namespace harness
