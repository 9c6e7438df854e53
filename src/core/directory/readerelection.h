/// Election of the hosts that read the platform's directory.
#pragma once

#include <flamingograde/ids.h>

#include <vector>

namespace flamingograde {

class Blackboard;

/// Returns whether this host is elected to watch the directory.
///
/// Each availability zone has one candidate. Among the zone's hosts that this host reaches and
/// whose reads do not fail, it is the one with the widest link; ties are broken by rendezvous hash.
/// If the reads of all of them fail, they are ranked the same way. The candidates of
/// `config::directoryReaderZones` zones read, so that a partition of one zone leaves a reader;
/// other hosts receive changes from them through their hubs. Precondition: `board.now` is set.
[[nodiscard]] auto isDirectoryReader(const Blackboard &board) -> bool;

/// Returns whether this host is the candidate of its zone. Precondition: `board.now` is set.
[[nodiscard]] auto isZoneCandidate(const Blackboard &board) -> bool;

/// Returns the candidate of each other zone, to which this host sends what it read.
/// Precondition: `board.now` is set.
[[nodiscard]] auto crossZoneRecipients(const Blackboard &board) -> std::vector<HostId>;

} // namespace flamingograde
