/// Wire format of directory updates.
#pragma once

#include <flamingograde/directoryupdate.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace flamingograde {

class WireReader;

/// Decodes the epoch of the revisions of a map from its field `key`; 0 if there is none.
/// Errors are recorded in `reader`.
/// @remarks Thread safe if each thread uses its own reader.
[[nodiscard]] auto unpackEpoch(WireReader &reader, const nlohmann::json &map, const char *key)
        -> std::uint32_t;

/// Encodes an update as a map. Precondition: all its revisions are of the epoch of `upTo`.
/// @remarks Thread safe.
[[nodiscard]] auto packUpdate(const DirectoryUpdate &update) -> nlohmann::json;

/// Decodes an update from a map. Errors are recorded in `reader`.
/// @remarks Thread safe if each thread uses its own reader.
[[nodiscard]] auto unpackUpdate(WireReader &reader, const nlohmann::json &map) -> DirectoryUpdate;

} // namespace flamingograde
