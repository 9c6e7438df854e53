/// The queues and slots of the cells that this host is home of, and hints of others' loads.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace flamingograde {

/// Queues, running counts and loads by cell.
/// @remarks Written by the admission controller, but for `noteRemoteLoad`. Not thread safe.
class CellStore
{
public:
    /// Removes an exchange from its queue or from the running ones, if it is there.
    auto remove(ExchangeId exchange) -> void;
    /// Returns how many requests of `cell` run at upstreams on this host's word.
    [[nodiscard]] auto runningIn(CellId cell) const -> std::uint32_t;
    /// Returns how many requests of `cell` wait here.
    [[nodiscard]] auto queuedIn(CellId cell) const -> std::uint32_t;
    /// Returns the loads of the cells with work here, for gossip.
    [[nodiscard]] auto ownLoads() const -> std::vector<CellLoad>;
    /// Notes what another host said of a cell it is home of.
    auto noteRemoteLoad(CellLoad load, MonoTime now) -> void;
    /// Returns the latest known load of `cell`, of this or another host, if fresh enough to use.
    [[nodiscard]] auto loadOf(CellId cell, MonoTime now) const -> std::optional<CellLoad>;
    /// Returns all requests waiting in `cell`, so that they can be placed again.
    [[nodiscard]] auto waitingIn(CellId cell) const -> std::vector<ExchangeId>;
};

} // namespace flamingograde
