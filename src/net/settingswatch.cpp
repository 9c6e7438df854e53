/// Looks at the settings file from time to time.
#include "net/settingswatch.h"

#include "net/hostlog.h"
#include "net/loop.h"
#include "net/settingsfile.h"

#include <utility>

namespace flamingograde::net {

namespace {

constexpr Duration lookPeriod = std::chrono::seconds(1); ///< One `stat` a second.

} // namespace

SettingsWatch::SettingsWatch(Loop &owner, std::string file,
                             std::function<void(const Settings &)> handler)
    : loop(owner), path(std::move(file)), changed(std::move(handler)), state(fileState(this->path))
{
    this->wait();
}

auto SettingsWatch::wait() -> void
{
    this->timer = this->loop.after(lookPeriod, [this] { this->look(); });
}

auto SettingsWatch::look() -> void
{
    if (fileState(this->path) != this->state) {
        this->reload();
    }
    this->wait();
}

auto SettingsWatch::reload() -> void
{
    this->state = fileState(this->path);
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
