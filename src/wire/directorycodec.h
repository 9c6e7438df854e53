/// Wire format of directory updates.
#pragma once

#include <flamingograde/directoryupdate.h>

#include <nlohmann/json_fwd.hpp>

namespace flamingograde {

class WireReader;

/// Encodes an update as a map. Thread safe.
[[nodiscard]] auto packUpdate(const DirectoryUpdate &update) -> nlohmann::json;

/// Decodes an update from a map. Errors are recorded in `reader`.
/// @remarks Thread safe if each thread uses its own reader.
[[nodiscard]] auto unpackUpdate(WireReader &reader, const nlohmann::json &map) -> DirectoryUpdate;

} // namespace flamingograde
