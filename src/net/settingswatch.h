/// Settings that change while the host runs.
#pragma once

#include "net/timer.h"
#include "wire/settings.h"

#include <functional>
#include <string>

namespace flamingograde::net {

class Loop;

/// Reads the settings file anew when it changed, with or without a signal.
///
/// A file with faults is logged and the settings in force stay.
/// @remarks Not thread safe.
class SettingsWatch
{
public:
    /// @param file the settings file.
    /// @param handler gets the settings of a changed file.
    SettingsWatch(Loop &owner, std::string file, std::function<void(const Settings &)> handler);

    /// Reads the file now. Precondition: none.
    auto reload() -> void;

private:
    auto look() -> void;
    auto wait() -> void;

    Loop &loop;
    std::string path;
    std::function<void(const Settings &)> changed;
    std::string state;
    Timer timer;
};

} // namespace flamingograde::net
