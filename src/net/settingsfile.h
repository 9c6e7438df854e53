/// Reads the settings file of a host.
#pragma once

#include "wire/settings.h"

#include <flamingograde/clock.h>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace flamingograde::net {

/// Reads and checks a settings file.
/// @returns the settings, or one message per fault.
/// @remarks Thread safe.
[[nodiscard]] auto readSettingsFile(const std::string &path)
        -> tl::expected<Settings, std::vector<std::string>>;

/// Returns a fingerprint that changes when the file changes; empty if `stat` fails.
/// @remarks Thread safe.
[[nodiscard]] auto fileFingerprint(const std::string &path) -> std::string;

} // namespace flamingograde::net
