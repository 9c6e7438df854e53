/// Log lines for directory changes.
#pragma once

#include <flamingograde/ids.h>

#include <string>

namespace flamingograde {

class Blackboard;
struct DirectoryChanges;
struct UpstreamEntry;

/// Returns an upstream's name, service, zone and address as fields of a log line.
[[nodiscard]] auto describeUpstream(const UpstreamEntry &entry) -> std::string;

/// Logs each change with the directory's revision and the time since the platform was last heard.
auto logChanges(Blackboard &board, const DirectoryChanges &changes) -> void;

/// Logs that the first whole directory is in force, and the host that sent the last part of it.
/// Precondition: the directory has a revision.
auto logLoaded(Blackboard &board, HostId from) -> void;

/// Logs that the directory was shown to be current. Precondition: it was.
auto logConfirmed(Blackboard &board) -> void;

/// Counts and logs that this host reads because its directory was not shown in time to have all
/// changes.
auto logOverdue(Blackboard &board) -> void;

} // namespace flamingograde
