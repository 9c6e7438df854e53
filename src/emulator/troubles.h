/// Schedules the troubles of a day.
#pragma once

#include <string>
#include <vector>

namespace flamingograde::emulator {

class Emulation;

/// Returns whether `kind` names a known kind of trouble. Thread safe.
[[nodiscard]] auto isTroubleKind(const std::string &kind) -> bool;

/// Returns the names of all kinds of trouble, in a fixed order. Thread safe.
[[nodiscard]] auto troubleKinds() -> std::vector<std::string>;

/// Schedules all troubles of the day relative to the current time.
/// Precondition: the load begins now, and every trouble's kind is known.
auto planTroubles(Emulation &emulation) -> void;

} // namespace flamingograde::emulator
