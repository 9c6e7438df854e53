/// One entry host under test.
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

/// A running `flamingograded` and what it told on its standard output.
/// @remarks Not thread safe.
class HostProcess
{
public:
    /// Starts the daemon with the settings file. `onChange` is called after each event it tells.
    HostProcess(Loop &loop, std::string name, const std::filesystem::path &settings,
                const std::filesystem::path &logFile, std::function<void()> onChange);

    [[nodiscard]] auto name() const -> const std::string & { return this->hostName; }
    [[nodiscard]] auto isReady() const -> bool { return !this->ready.is_null(); }
    /// Returns what it told with `ready`: admin, peer and relay addresses.
    [[nodiscard]] auto readyEvent() const -> const nlohmann::json & { return this->ready; }
    [[nodiscard]] auto admin() const -> std::string { return this->ready.value("admin", ""); }
    /// Returns where it listens for each row's address.
    [[nodiscard]] auto listeners() const -> const std::map<std::string, std::string> &
    {
        return this->bound;
    }
    /// Returns what it told with `stopped`; null before.
    [[nodiscard]] auto stoppedEvent() const -> const nlohmann::json & { return this->stopped; }
    [[nodiscard]] auto process() -> Process & { return this->child; }
    [[nodiscard]] auto log() const -> const std::filesystem::path & { return this->logFile; }

private:
    auto onLine(const std::string &line) -> void;

    std::string hostName;
    std::filesystem::path logFile;
    std::function<void()> onChange;
    nlohmann::json ready;
    nlohmann::json stopped;
    std::map<std::string, std::string> bound;
    Process child;
};

} // namespace harness
