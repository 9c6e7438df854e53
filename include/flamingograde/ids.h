/// The ids used throughout the library.
#pragma once

#include <flamingograde/strongid.h>

namespace flamingograde {

using HostId = StrongId<struct HostTag>;         ///< An entry host, by its name.
using ZoneId = StrongId<struct ZoneTag>;         ///< An availability zone, by its name.
using ServiceId = StrongId<struct ServiceTag>;   ///< A service, by its name.
using RowId = StrongId<struct RowTag>;           ///< A row of the table, by its name.
using UpstreamId = StrongId<struct UpstreamTag>; ///< An upstream, by its name.
using CellId = StrongId<struct CellTag>;         ///< A service's upstreams in one zone.
using FlowId = StrongId<struct FlowTag>;         ///< A flow: the packets that share a token.
using ExchangeId = StrongId<struct ExchangeTag>; ///< One request and its answer in one host.
using InstanceId =
        StrongId<struct InstanceTag>; ///< One life of an upstream's process, by its number.

/// Returns the id of the cell of `service` in `zone`.
/// @remarks Thread safe.
[[nodiscard]] auto cellOf(ServiceId service, ZoneId zone) -> CellId;

} // namespace flamingograde
