/// Log lines for directory changes.
#pragma once

#include <string>

namespace flamingograde {

class Blackboard;
struct DirectoryChanges;
struct UpstreamEntry;

/// Returns an upstream's name, service, zone and address as fields of a log line.
[[nodiscard]] auto describeUpstream(const UpstreamEntry &entry) -> std::string;

/// Logs each change with the directory's revision and the time since the platform was last heard.
auto logChanges(Blackboard &board, const DirectoryChanges &changes) -> void;

} // namespace flamingograde
