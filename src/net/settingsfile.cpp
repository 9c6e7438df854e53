/// Reads the settings file of a host.
#include "net/settingsfile.h"

#include <sys/stat.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace flamingograde::net {

auto readSettingsFile(const std::string &path) -> tl::expected<Settings, std::vector<std::string>>
{
    std::ifstream file(path);
    if (!file) {
        return tl::unexpected(std::vector<std::string> { path + ": cannot be read" });
    }
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    auto settings = parseSettings(text, path);
    if (settings) {
        return std::move(*settings);
    }
    std::vector<std::string> faults;
    for (const auto &finding : settings.error()) {
        faults.push_back(finding.toString());
    }
    return tl::unexpected(std::move(faults));
}

auto fileFingerprint(const std::string &path) -> std::string
{
    struct stat state = {};
    if (stat(path.c_str(), &state) != 0) {
        return {};
    }
    return std::to_string(state.st_ino) + " " + std::to_string(state.st_size) + " "
           + std::to_string(state.st_mtim.tv_sec) + " " + std::to_string(state.st_mtim.tv_nsec);
}

} // namespace flamingograde::net
