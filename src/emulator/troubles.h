/// The troubles of a day.
#pragma once

#include <string>
#include <vector>

namespace flamingograde::emulator {

class Emulation;

/// Returns whether there is such a kind of trouble. Thread safe.
[[nodiscard]] auto isTroubleKind(const std::string &kind) -> bool;

/// Returns the kinds of trouble, in a fixed order. Thread safe.
[[nodiscard]] auto troubleKinds() -> std::vector<std::string>;

/// Plans all troubles of the emulation's day from now on.
/// Precondition: the load begins now, and every kind is one.
auto planTroubles(Emulation &world) -> void;

} // namespace flamingograde::emulator
