/// Initial settings of emulated hosts.
#pragma once

#include <flamingograde/init.h>

#include <cstddef>
#include <string>
#include <vector>

namespace flamingograde::emulator {

/// Returns the initial settings of host `number`: its name, its address and the seeds' addresses.
/// @param seeds the numbers of the hosts that are seeds.
/// @remarks Thread safe.
[[nodiscard]] auto hostSettings(const std::string &zone, std::size_t number,
                                const std::vector<std::size_t> &seeds = { 0, 1, 2 }) -> Init;

} // namespace flamingograde::emulator
