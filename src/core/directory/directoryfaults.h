/// Reports on what was read of the directory, or sent by other hosts, and could not be used.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/ids.h>
#include <flamingograde/revision.h>

#include <string>

namespace flamingograde {

class Blackboard;
struct DirectoryUpdate;

/// Counts and logs what could not be used. A line is written only when it differs from the last one
/// of its kind, as repeated reads find the same faults.
/// @remarks Not thread safe.
class DirectoryFaults
{
public:
    /// Records items of the platform that could not be decoded. Precondition: none.
    auto noteItems(Blackboard &board, const DirectoryItemsFaulty &faulty) -> void;

    /// Records what another host sent and could not be decoded. Precondition: none.
    auto noteUnreadable(Blackboard &board, HostId from, const DirectoryUpdate &update) -> void;

    /// Records a read that is older than the directory. Precondition: none.
    auto noteOldRead(Blackboard &board, Revision read) -> void;

private:
    std::string lastItems;
    std::string lastUnreadable;
    Revision lastOldRead;
};

} // namespace flamingograde
