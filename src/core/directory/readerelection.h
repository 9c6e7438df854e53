/// Which hosts read the platform's directory.
#pragma once

#include <flamingograde/ids.h>

#include <vector>

namespace flamingograde {

class Blackboard;

/// Returns whether this host is to watch the directory.
///
/// Each availability zone has one candidate: of its hosts that this one reaches and whose reads do
/// not fail, that with the widest link, among equals the first by rendezvous; where the reads of
/// all fail, the first of all. The candidates of `config::directoryReaderZones` zones read, so that
/// the cut of one zone leaves a reader; the others hear from them through their hubs.
/// Precondition: `board.now` is set.
[[nodiscard]] auto isDirectoryReader(const Blackboard &board) -> bool;

/// Returns one host of each other zone, to be told what this host read.
/// Precondition: as above.
[[nodiscard]] auto directoryBridges(const Blackboard &board) -> std::vector<HostId>;

} // namespace flamingograde
