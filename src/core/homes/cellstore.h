/// Queues and slots of the cells whose home is this host, and the cell loads reported by other
/// hosts.
#pragma once

#include "core/homes/cell.h"
#include "core/requests/runningrequest.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>
#include <flamingograde/revision.h>
#include <flamingograde/row.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingograde {

class Table;

/// Stores the queues, running requests and load of each cell.
/// @remarks Only the admission controller modifies it, except through `noteRemoteLoad` and
/// `remove`. Not thread safe.
class CellStore
{
public:
    /// Removes an exchange from its queue or from the running requests; does nothing if it is in
    /// neither.
    auto remove(ExchangeId exchange) -> void;
    /// Returns how many requests of `cell` that this host dispatched are running at upstreams.
    [[nodiscard]] auto runningIn(CellId cell) const -> std::uint32_t;
    /// Returns how many requests of `cell` are queued on this host.
    [[nodiscard]] auto queuedIn(CellId cell) const -> std::uint32_t;
    /// Returns the loads to gossip: those of the cells whose home is this host and that have
    /// running or queued requests.
    [[nodiscard]] auto ownLoads() const -> std::vector<CellLoad>;
    /// Stores the load that another host reported for a cell whose home it is.
    auto noteRemoteLoad(CellLoad load, MonoTime now) -> void;
    /// Returns the current load of `cell` if this host is its home, otherwise the load last
    /// reported by another host; nothing if that report is older than `config::loadFresh`.
    [[nodiscard]] auto loadOf(CellId cell, MonoTime now) const -> std::optional<CellLoad>;
    /// Returns all requests queued in `cell`, so that they can be placed again.
    [[nodiscard]] auto waitingIn(CellId cell) const -> std::vector<ExchangeId>;

    /// Returns the cell and creates it if it is unknown. The reference stays valid for the lifetime
    /// of the store.
    auto cell(CellId id) -> Cell &;
    /// Returns all known cells, by id.
    [[nodiscard]] auto all() const -> const std::map<CellId, Cell> & { return this->cells; }
    [[nodiscard]] auto all() -> std::map<CellId, Cell> & { return this->cells; }
    /// Returns how many requests are queued in all cells together.
    [[nodiscard]] auto queued() const -> std::size_t;
    /// Returns how many requests are running in all cells together.
    [[nodiscard]] auto running() const -> std::size_t;
    /// Returns how many slots of `upstream` are in use by requests that this host dispatched in
    /// `cell`, lingering slots included.
    [[nodiscard]] auto runningAt(CellId cell, UpstreamId upstream) const -> std::uint32_t;

    /// Appends `exchange` to its row's queue. Precondition: it is in no queue.
    auto enqueue(CellId cell, const Row &row, ExchangeId exchange) -> RowQueue &;
    /// Moves the exchange of `request` from its queue to the running requests, where it uses a slot
    /// of its upstream. Precondition: it is queued in `request.cell` and `request.row`.
    auto start(const RunningRequest &request) -> void;
    /// Returns the running request of `exchange`, or null if it is not running.
    [[nodiscard]] auto findRunning(ExchangeId exchange) -> RunningRequest *;
    /// Returns whether `exchange` is queued on this host.
    [[nodiscard]] auto isWaiting(ExchangeId exchange) const -> bool;
    /// Reserves the slot of an ended request until `until`. Precondition: `until` is not earlier
    /// than in the previous call for the same cell.
    auto linger(const RunningRequest &request, MonoTime until) -> void;
    /// Frees the lingering slots of `cell` whose reservation has expired at `now`.
    auto freeLingering(Cell &cell, MonoTime now) -> void;
    /// Copies the settings of the rows from `table`, and removes rows and upstreams that are no
    /// longer in it and that no request uses.
    auto applyTable(const Table &table) -> void;
    /// Returns the running requests that `remove` removed since the last call.
    [[nodiscard]] auto takeEnded() -> std::vector<RunningRequest>;

    Revision revision; ///< Revision of the table last passed to `applyTable`.

private:
    /// The queue or the running requests that contain an exchange.
    struct Location
    {
        CellId cell;
        RowId row;
        bool running = false;
    };
    /// A load that another host reported.
    struct RemoteLoad
    {
        CellLoad load;
        MonoTime receivedAt;
    };

    auto dequeue(const Location &location, ExchangeId exchange) -> void;
    auto release(const Location &location, ExchangeId exchange) -> RunningRequest;

    std::map<CellId, Cell> cells;
    std::unordered_map<ExchangeId, Location> locations;
    std::unordered_map<CellId, RemoteLoad> remoteLoads;
    std::vector<RunningRequest> endedRequests;
};

} // namespace flamingograde
