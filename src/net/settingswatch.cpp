/// Checks the settings file for changes periodically.
#include "net/settingswatch.h"

#include "net/hostlog.h"
#include "net/loop.h"
#include "net/settingsfile.h"

#include <utility>

namespace flamingograde::net {

namespace {

constexpr Duration checkPeriod = std::chrono::seconds(1); ///< One `stat` call per second.

} // namespace

SettingsWatch::SettingsWatch(Loop &owner, std::string file,
                             std::function<void(const Settings &)> handler)
    : loop(owner), path(std::move(file)), changed(std::move(handler)),
      fingerprint(fileFingerprint(this->path))
{
    this->scheduleCheck();
}

auto SettingsWatch::scheduleCheck() -> void
{
    this->timer = this->loop.after(checkPeriod, [this] { this->check(); });
}

auto SettingsWatch::check() -> void
{
    if (fileFingerprint(this->path) != this->fingerprint) {
        this->reload();
    }
    this->scheduleCheck();
}

auto SettingsWatch::reload() -> void
{
    this->fingerprint = fileFingerprint(this->path);
    const auto settings = readSettingsFile(this->path);
    if (settings) {
        writeLog(LogEvent::SettingsRead, "file=" + this->path);
        this->changed(*settings);
        return;
    }
    for (const auto &fault : settings.error()) {
        writeLog(LogEvent::SettingRefused, "finding=\"" + fault + "\"");
    }
}

} // namespace flamingograde::net
