/// One line a belief that changed.
#include "core/directory/directorylog.h"

#include "core/blackboard.h"
#include "core/milliseconds.h"

#include <vector>

namespace flamingograde {

namespace {

constexpr std::size_t namesMax = 64; ///< Upstreams named in one line.

auto sourceOf(const Blackboard &board) -> std::string
{
    return " directory=" + std::to_string(board.directory.revision().number) + " platform_age_ms="
           + std::to_string(milliseconds(board.config.platformAge(board.now.mono)));
}

auto logEach(Blackboard &board, LogEvent event, const std::vector<std::uint32_t> &indices) -> void
{
    for (const auto index : indices) {
        const auto &entry = board.directory.at(index);
        board.log(event, describeUpstream(entry) + " changed=" + std::to_string(entry.newest.number)
                                 + sourceOf(board));
    }
}

/// Logs the first directory in one line: a line an upstream would hold up a start.
auto logLoaded(Blackboard &board, const std::vector<std::uint32_t> &indices) -> void
{
    std::string names;
    for (std::size_t i = 0; i < indices.size() && i < namesMax; ++i) {
        names += (names.empty() ? "" : ",") + board.directory.at(indices[i]).record.upstream.name;
    }
    board.log(LogEvent::DirectoryLoaded,
              "upstreams=" + std::to_string(indices.size()) + " names=" + names + sourceOf(board));
}

auto logListed(Blackboard &board, const std::vector<std::uint32_t> &indices) -> void
{
    const auto isFirst = indices.size() > 1 && indices.size() == board.directory.listedCount();
    if (isFirst) {
        logLoaded(board, indices);
    } else {
        logEach(board, LogEvent::UpstreamListed, indices);
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
    logListed(board, changes.listed);
    logEach(board, LogEvent::UpstreamLeaving, changes.leaving);
    logEach(board, LogEvent::UpstreamMissing, changes.missing);
    logEach(board, LogEvent::UpstreamRemoved, changes.removed);
    logEach(board, LogEvent::UpstreamRestarted, changes.restarted);
    logEach(board, LogEvent::UpstreamUnusable, changes.faulty);
    logEach(board, LogEvent::CookieShared, changes.sharedCookie);
    if (changes.rowsChanged) {
        const auto &rows = *board.directory.rows();
        board.log(LogEvent::RowsAccepted, "version=" + std::to_string(rows.version)
                                                  + " rows=" + std::to_string(rows.rows.size())
                                                  + sourceOf(board));
    }
}

} // namespace flamingograde
