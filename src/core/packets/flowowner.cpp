/// Look-up by cookies that are bound to an address, and by unbound ones of older versions.
#include "core/packets/flowowner.h"

#include "core/blackboard.h"

#include <flamingograde/config.h>

#include <algorithm>

namespace flamingograde {

namespace {

/// Returns whether a row has, or had, the service of an upstream.
auto hasHadService(const RowEntry &row, const UpstreamEntry &entry) -> bool
{
    const auto service = entry.record.upstream.service;
    return std::find(row.servicesEverHad.begin(), row.servicesEverHad.end(), service)
           != row.servicesEverHad.end();
}

/// Returns whether flows may still be open that began before this host had any rows.
auto isHistoryIncomplete(const Blackboard &board) -> bool
{
    return board.now.mono - board.directory.rowsSince() < config::tombstoneTime;
}

} // namespace

auto ownerOf(const Blackboard &board, const RowEntry &row, Address address, Cookie cookie)
        -> FlowOwner
{
    if (const auto *entry = board.directory.byCookie(cookie.bound(address))) {
        return { entry, hasHadService(row, *entry) || isHistoryIncomplete(board) };
    }
    // Hosts of an older version issue cookies that are not bound to an address. Such a cookie is no
    // proof that the row had the service.
    const auto *entry = board.directory.byCookie(cookie);
    return { entry, entry != nullptr && hasHadService(row, *entry) };
}

} // namespace flamingograde
