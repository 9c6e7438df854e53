/// Revisions from before the epoch of a directory, and change of the epoch that an update names.
#pragma once

#include <cstdint>

namespace flamingograde {

struct DirectoryUpdate;
struct Revision;

/// Returns whether `revision` marks what a directory knows only from before its present epoch,
/// that is, from before the platform was restored.
/// @remarks Thread safe.
[[nodiscard]] auto isOfEarlierEpoch(Revision revision) -> bool;

/// Returns `update` with all its valid revisions in `epoch`.
/// @remarks Thread safe.
[[nodiscard]] auto inEpoch(DirectoryUpdate update, std::uint32_t epoch) -> DirectoryUpdate;

} // namespace flamingograde
