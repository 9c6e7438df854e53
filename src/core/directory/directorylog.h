/// The log's lines on changes of the directory.
#pragma once

#include <string>

namespace flamingograde {

class Blackboard;
struct DirectoryChanges;
struct UpstreamEntry;

/// Returns what a log line says of an upstream: its name, service, zone and address.
[[nodiscard]] auto describeUpstream(const UpstreamEntry &entry) -> std::string;

/// Logs each change, with the revision that brought it and how old the platform's word is.
auto logChanges(Blackboard &board, const DirectoryChanges &changes) -> void;

} // namespace flamingograde
