/// Initial settings of emulated hosts.
#pragma once

#include <flamingograde/init.h>

#include <cstddef>
#include <string>

namespace flamingograde::emulator {

/// Returns the initial settings of host `number`: its name, its address and three seed addresses.
/// @remarks Thread safe.
[[nodiscard]] auto hostSettings(const std::string &zone, std::size_t number) -> Init;

} // namespace flamingograde::emulator
