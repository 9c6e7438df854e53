/// One line a belief that changed.
#include "core/directory/directorylog.h"

#include "core/blackboard.h"

#include <vector>

namespace flamingograde {

namespace {

auto milliseconds(Duration duration) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

auto sourceOf(const Blackboard &board) -> std::string
{
    return " directory=" + std::to_string(board.directory.revision().number)
           + " platform_age_ms=" + milliseconds(board.config.platformAge(board.now.mono));
}

auto logEach(Blackboard &board, LogEvent event, const std::vector<std::uint32_t> &indices) -> void
{
    for (const auto index : indices) {
        const auto &entry = board.directory.at(index);
        board.log(event, describeUpstream(entry) + " changed=" + std::to_string(entry.newest.number)
                                 + sourceOf(board));
    }
}

} // namespace

auto describeUpstream(const UpstreamEntry &entry) -> std::string
{
    const auto &upstream = entry.record.upstream;
    return "upstream=" + upstream.name + " service=" + upstream.serviceName
           + " zone=" + upstream.zoneName + " address=" + upstream.address.toString();
}

auto logChanges(Blackboard &board, const DirectoryChanges &changes) -> void
{
    logEach(board, LogEvent::UpstreamListed, changes.listed);
    logEach(board, LogEvent::UpstreamLeaving, changes.leaving);
    logEach(board, LogEvent::UpstreamMissing, changes.missing);
    logEach(board, LogEvent::UpstreamRemoved, changes.removed);
    logEach(board, LogEvent::CookieShared, changes.sharedCookie);
    if (changes.rowsChanged) {
        const auto &rows = *board.directory.rows();
        board.log(LogEvent::RowsAccepted, "version=" + std::to_string(rows.version)
                                                  + " rows=" + std::to_string(rows.rows.size())
                                                  + sourceOf(board));
    }
}

} // namespace flamingograde
