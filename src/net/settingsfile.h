/// The settings file of a host.
#pragma once

#include "wire/settings.h"

#include <flamingograde/clock.h>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace flamingograde::net {

/// Reads and checks a settings file.
/// @returns the settings, or one line for each fault.
/// @remarks Thread safe.
[[nodiscard]] auto readSettingsFile(const std::string &path)
        -> tl::expected<Settings, std::vector<std::string>>;

/// Returns a text that differs where the file was changed; empty where it cannot be read.
/// @remarks Thread safe.
[[nodiscard]] auto fileState(const std::string &path) -> std::string;

} // namespace flamingograde::net
