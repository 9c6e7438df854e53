/// Suppresses repeated log lines on faults.
#include "core/directory/directoryfaults.h"

#include "core/blackboard.h"

#include <flamingograde/directoryupdate.h>

#include <utility>

namespace flamingograde {

auto DirectoryFaults::noteItems(Blackboard &board, const DirectoryItemsFaulty &faulty) -> void
{
    board.stats.directoryFaults += faulty.count;
    if (std::exchange(this->lastItems, faulty.what) != faulty.what) {
        board.log(LogEvent::DirectoryRefused,
                  "items=" + std::to_string(faulty.count) + " what=\"" + faulty.what + "\"");
    }
}

auto DirectoryFaults::noteUnreadable(Blackboard &board, HostId from, const DirectoryUpdate &update)
        -> void
{
    if (update.unreadable.empty()) {
        return;
    }
    board.stats.directoryFaults += update.unreadable.size();
    const auto what = "from " + board.membership.nameOf(from) + ": " + update.unreadable.front();
    if (std::exchange(this->lastUnreadable, what) != what) {
        board.log(LogEvent::DirectoryRefused,
                  "items=" + std::to_string(update.unreadable.size()) + " what=\"" + what + "\"");
    }
}

auto DirectoryFaults::noteOldRead(Blackboard &board, Revision read) -> void
{
    ++board.stats.directoryReadsOld;
    if (std::exchange(this->lastOldRead, read) != read) {
        board.log(LogEvent::DirectoryReadOld,
                  "read=" + std::to_string(read.number) + " epoch=" + std::to_string(read.epoch)
                          + " directory=" + std::to_string(board.directory.revision().number));
    }
}

} // namespace flamingograde
