/// Reads bound cookies, and those of hosts that do not bind them.
#include "core/packets/flowowner.h"

#include "core/blackboard.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

namespace {

auto hasHad(const RowEntry &row, const UpstreamEntry &entry) -> bool
{
    const auto service = entry.record.upstream.service;
    return std::find(row.had.begin(), row.had.end(), service) != row.had.end();
}

/// Returns whether flows may be open that began before this host knew any row.
auto remembersLittle(const Blackboard &board) -> bool
{
    return board.now.mono - board.directory.rowsSince() < config::tombstoneTime;
}

} // namespace

auto ownerOf(const Blackboard &board, const RowEntry &row, Address address, Cookie cookie)
        -> FlowOwner
{
    if (const auto *entry = board.directory.byCookie(cookie.bound(address))) {
        return { entry, hasHad(row, *entry) || remembersLittle(board) };
    }
    // Hosts of an older version write cookies that are not bound; they prove nothing.
    const auto *entry = board.directory.byCookie(cookie);
    return { entry, entry != nullptr && hasHad(row, *entry) };
}

} // namespace flamingograde
