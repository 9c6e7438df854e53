/// Look-up of the upstream that owns an open flow.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/cookie.h>

namespace flamingograde {

class Blackboard;
struct RowEntry;
struct UpstreamEntry;

/// The upstream that a flow's cookie identifies.
struct FlowOwner
{
    const UpstreamEntry *entry = nullptr; ///< Null: this host knows no such upstream.
    /// Whether the flow's row has the upstream's service now, or may have had it at opening.
    bool belongsToRow = false;
};

/// Returns the owner of an open flow of a row.
///
/// A row may have moved its weight to another service while the flow was open. A host that has had
/// rows for longer than a flow lives knows every service that they had in that time. A host that
/// started more recently trusts the cookie instead, which identifies an upstream only at the
/// address for which it was issued. This keeps flows open across a planned stop, and after all
/// hosts lost power at once and none has the history: without it, six hosts dropped 2,314 packets
/// in one minute, and each affected request failed only at its deadline.
///
/// Precondition: `row` is in force at `address`.
[[nodiscard]] auto ownerOf(const Blackboard &board, const RowEntry &row, Address address,
                           Cookie cookie) -> FlowOwner;

} // namespace flamingograde
