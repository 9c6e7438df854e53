/// Change of the epoch that the revisions of an update name.
#pragma once

#include <cstdint>

namespace flamingograde {

struct DirectoryUpdate;

/// Returns `update` with all its valid revisions in `epoch`.
/// @remarks Thread safe.
[[nodiscard]] auto inEpoch(DirectoryUpdate update, std::uint32_t epoch) -> DirectoryUpdate;

} // namespace flamingograde
