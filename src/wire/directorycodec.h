/// The directory's updates on the wire.
#pragma once

#include <flamingograde/directoryupdate.h>

#include <nlohmann/json_fwd.hpp>

namespace flamingograde {

class WireReader;

/// Returns an update as a map. Thread safe.
[[nodiscard]] auto packUpdate(const DirectoryUpdate &update) -> nlohmann::json;

/// Reads an update from a map; faults are noted at `reader`.
/// @remarks Thread safe for different readers.
[[nodiscard]] auto unpackUpdate(WireReader &reader, const nlohmann::json &map) -> DirectoryUpdate;

} // namespace flamingograde
