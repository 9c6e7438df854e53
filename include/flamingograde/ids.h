/// Id types of the library.
#pragma once

#include <flamingograde/strongid.h>

namespace flamingograde {

using HostId = StrongId<struct HostTag>;         ///< An entry host; made from its name.
using ZoneId = StrongId<struct ZoneTag>;         ///< An availability zone; made from its name.
using ServiceId = StrongId<struct ServiceTag>;   ///< A service; made from its name.
using RowId = StrongId<struct RowTag>;           ///< A row of the table; made from its name.
using UpstreamId = StrongId<struct UpstreamTag>; ///< An upstream; made from its name.
using CellId = StrongId<struct CellTag>;         ///< A cell: a service's upstreams in one zone.
using FlowId = StrongId<struct FlowTag>;         ///< A flow: the packets that share a token.
using ExchangeId = StrongId<struct ExchangeTag>; ///< A request and its answer within one host.
using InstanceId = StrongId<struct InstanceTag>; ///< An instance of an upstream, by its number.

/// Returns the id of the cell of `service` in `zone`.
/// @remarks Thread safe.
[[nodiscard]] auto cellOf(ServiceId service, ZoneId zone) -> CellId;

} // namespace flamingograde
