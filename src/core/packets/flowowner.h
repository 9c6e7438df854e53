/// Which upstream has an open flow.
#pragma once

#include <flamingograde/address.h>
#include <flamingograde/cookie.h>

namespace flamingograde {

class Blackboard;
struct RowEntry;
struct UpstreamEntry;

/// The upstream that a flow's cookie names.
struct FlowOwner
{
    const UpstreamEntry *entry = nullptr; ///< Null: no upstream that this host knows.
    bool isOfRow = false; ///< Whether the flow's row has its service, or had it when it opened.
};

/// Returns the owner of a flow that is open at a row.
///
/// A row may have moved its weight to another service while the flow was open. A host that has had
/// rows for longer than a flow lives remembers every service that they had. One that started later
/// goes by the cookie: it names an upstream only at the address for which it was written. Guards
/// open flows after a planned stop, and after all hosts lost their power at once, when nobody
/// remembers: 2,314 packets of one minute of six hosts were dropped, each request until its
/// deadline.
/// Precondition: `row` is in force at `address`.
[[nodiscard]] auto ownerOf(const Blackboard &board, const RowEntry &row, Address address,
                           Cookie cookie) -> FlowOwner;

} // namespace flamingograde
