/// Reloads the settings file while the host runs.
#pragma once

#include "net/timer.h"
#include "wire/settings.h"

#include <functional>
#include <string>

namespace flamingograde::net {

class Loop;

/// Reloads the settings file when it changes or when `reload` is called.
///
/// If the file has faults, they are logged and the current settings stay in force.
/// @remarks Not thread safe.
class SettingsWatch
{
public:
    /// @param file path of the settings file.
    /// @param handler called with the settings after each successful reload.
    SettingsWatch(Loop &owner, std::string file, std::function<void(const Settings &)> handler);

    /// Reloads the file immediately. Precondition: none.
    auto reload() -> void;

private:
    auto check() -> void;
    auto scheduleCheck() -> void;

    Loop &loop;
    std::string path;
    std::function<void(const Settings &)> changed;
    std::string fingerprint;
    Timer timer;
};

} // namespace flamingograde::net
