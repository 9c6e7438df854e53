/// Formats and writes the log lines of directory changes.
#include "core/directory/directorylog.h"

#include "core/blackboard.h"
#include "core/milliseconds.h"

#include <algorithm>
#include <vector>

namespace flamingograde {

namespace {

constexpr std::size_t namesPerLineMax = 64; ///< Upstream names per log line.
/// Lines of names per change. A fleet with 6,000 upstreams would otherwise write 94 lines of 75 KB
/// per host when it loads the directory.
constexpr std::size_t nameLinesMax = 4;
/// Up to this many upstreams of one change get a line each; more are logged by name only. With a
/// line each, 600 upstreams that registered in some ten changes made 177,000 lines on 295 hosts.
constexpr std::size_t upstreamLinesMax = 8;
constexpr std::size_t evacuationLinesMax = 32; ///< Evacuations logged per change.

auto describeDirectory(const Blackboard &board) -> std::string
{
    const auto epoch = board.directory.currentEpoch();
    return " directory=" + std::to_string(board.directory.revision().number)
           + (epoch == 0 ? "" : " epoch=" + std::to_string(epoch)) + " platform_age_ms="
           + std::to_string(milliseconds(board.config.platformAge(board.now.mono)));
}

auto logUpstream(Blackboard &board, LogEvent event, std::uint32_t index) -> void
{
    const auto &entry = board.directory.at(index);
    board.log(event, describeUpstream(entry) + " changed=" + std::to_string(entry.newest.number)
                             + describeDirectory(board));
}

/// Logs the names of up to `namesPerLineMax` upstreams, starting at `begin`, in one line that also
/// tells how many upstreams of the change are not named in any line.
auto logNames(Blackboard &board, LogEvent event, const std::vector<std::uint32_t> &indices,
              std::size_t begin, std::size_t unnamed) -> void
{
    const auto end = std::min(indices.size(), begin + namesPerLineMax);
    std::string names;
    for (auto i = begin; i < end; ++i) {
        names += (names.empty() ? "" : ",") + board.directory.at(indices[i]).record.upstream.name;
    }
    board.log(event, "upstreams=" + std::to_string(end - begin) + " names=" + names
                             + " unnamed=" + std::to_string(unnamed) + describeDirectory(board));
}

auto logAllNames(Blackboard &board, LogEvent event, const std::vector<std::uint32_t> &indices)
        -> void
{
    const auto named = std::min(indices.size(), namesPerLineMax * nameLinesMax);
    for (std::size_t begin = 0; begin < named; begin += namesPerLineMax) {
        logNames(board, event, indices, begin, indices.size() - named);
    }
}

/// Logs up to `upstreamLinesMax` upstreams in a line each; more than that only by name.
auto logUpstreams(Blackboard &board, LogEvent event, const std::vector<std::uint32_t> &indices)
        -> void
{
    if (indices.size() > upstreamLinesMax) {
        logAllNames(board, event, indices);
        return;
    }
    for (const auto index : indices) {
        logUpstream(board, event, index);
    }
}

/// Returns the number of listed upstreams in a zone.
auto listedCountIn(const Blackboard &board, ZoneId zone) -> std::size_t
{
    const auto &entries = board.directory.entries();
    const auto count =
            std::count_if(entries.begin(), entries.end(), [zone](const UpstreamEntry &entry) {
                const auto &upstream = entry.record.upstream;
                return upstream.instance.isValid() && upstream.zone == zone
                       && entry.presence == Presence::Listed;
            });
    return static_cast<std::size_t>(count);
}

auto logEvacuation(Blackboard &board, const ZoneEvacuation &order) -> void
{
    board.log(order.inForce ? LogEvent::ZoneEvacuated : LogEvent::ZoneTakenBack,
              "zone=" + order.zoneName
                      + " upstreams=" + std::to_string(listedCountIn(board, order.zone))
                      + " changed=" + std::to_string(order.at.number) + describeDirectory(board));
}

} // namespace

auto describeUpstream(const UpstreamEntry &entry) -> std::string
{
    const auto &upstream = entry.record.upstream;
    return "upstream=" + upstream.name + " service=" + upstream.serviceName
           + " zone=" + upstream.zoneName + " address=" + upstream.address.toString();
}

auto logLoaded(Blackboard &board, HostId from) -> void
{
    const auto *sender = board.membership.find(from);
    const auto isOwnRead = from == board.membership.self || sender == nullptr;
    const auto took = board.now.mono - board.membership.startedAt;
    board.log(LogEvent::DirectoryLoaded,
              "upstreams=" + std::to_string(board.directory.listedCount())
                      + " from=" + (isOwnRead ? "platform" : sender->name) + " took_ms="
                      + std::to_string(milliseconds(took)) + describeDirectory(board));
}

auto logConfirmed(Blackboard &board) -> void
{
    const auto now = board.now.mono;
    const auto asOf = board.freshness.asOf().value_or(now);
    board.log(LogEvent::DirectoryConfirmed,
              "took_ms=" + std::to_string(milliseconds(now - board.freshness.since()))
                      + " directory_age_ms=" + std::to_string(milliseconds(now - asOf))
                      + describeDirectory(board));
}

auto logOverdue(Blackboard &board) -> void
{
    ++board.stats.directoryOverdue;
    const auto *feed = board.membership.find(board.links.feed);
    const auto asOf = board.freshness.asOf();
    const auto age = asOf ? std::to_string(milliseconds(board.now.mono - *asOf)) : "unknown";
    board.log(LogEvent::DirectoryOverdue,
              "directory_age_ms=" + age + " hubs=" + std::to_string(board.links.hubs.size())
                      + " feed=" + (feed != nullptr ? feed->name : "none")
                      + describeDirectory(board));
}

auto logChanges(Blackboard &board, const DirectoryChanges &changes) -> void
{
    logUpstreams(board, LogEvent::UpstreamListed, changes.listed);
    logUpstreams(board, LogEvent::UpstreamLeaving, changes.leaving);
    logUpstreams(board, LogEvent::UpstreamMissing, changes.missing);
    logUpstreams(board, LogEvent::UpstreamRemoved, changes.removed);
    logUpstreams(board, LogEvent::UpstreamRestarted, changes.restarted);
    logUpstreams(board, LogEvent::UpstreamUnusable, changes.faulty);
    logUpstreams(board, LogEvent::CookieShared, changes.sharedCookie);
    for (std::size_t i = 0; i < std::min(changes.evacuations.size(), evacuationLinesMax); ++i) {
        logEvacuation(board, changes.evacuations[i]);
    }
    if (changes.rowsChanged) {
        const auto &rows = *board.directory.rows();
        board.log(LogEvent::RowsAccepted, "version=" + std::to_string(rows.version)
                                                  + " rows=" + std::to_string(rows.rows.size())
                                                  + describeDirectory(board));
    }
}

} // namespace flamingograde
