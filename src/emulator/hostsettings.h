/// What every emulated host is told at its start.
#pragma once

#include <flamingograde/init.h>

#include <cstddef>
#include <string>

namespace flamingograde::emulator {

/// Returns the settings of the host `number` of a fleet: its name, address, and three seeds.
/// @remarks Thread safe.
[[nodiscard]] auto hostSettings(const std::string &zone, std::size_t number) -> Init;

} // namespace flamingograde::emulator
