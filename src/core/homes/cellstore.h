/// The queues and slots of the cells that this host is home of, and hints of others' loads.
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

/// Queues, running counts and loads by cell.
/// @remarks Written by the admission controller, but for `noteRemoteLoad` and `remove`. Not thread
/// safe.
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

    /// Returns the cell, made where it was not known. The reference holds for good.
    auto cell(CellId id) -> Cell &;
    /// Returns all known cells.
    [[nodiscard]] auto all() const -> const std::map<CellId, Cell> & { return this->cells; }
    [[nodiscard]] auto all() -> std::map<CellId, Cell> & { return this->cells; }
    /// Returns how many requests wait in all cells.
    [[nodiscard]] auto queued() const -> std::size_t;
    /// Returns how many requests run in all cells.
    [[nodiscard]] auto running() const -> std::size_t;
    /// Returns how many requests run at `upstream` on this host's word.
    [[nodiscard]] auto runningAt(CellId cell, UpstreamId upstream) const -> std::uint32_t;

    /// Puts `exchange` at the end of its row's queue. Precondition: it is in no queue.
    auto enqueue(CellId cell, const Row &row, ExchangeId exchange) -> RowQueue &;
    /// Takes a waiting `exchange` out of its queue and lets it hold a slot.
    /// Precondition: it waits in `request.cell` and `request.row`.
    auto start(const RunningRequest &request) -> void;
    /// Returns the running request, or null.
    [[nodiscard]] auto findRunning(ExchangeId exchange) -> RunningRequest *;
    /// Returns whether `exchange` waits in a queue here.
    [[nodiscard]] auto isWaiting(ExchangeId exchange) const -> bool;
    /// Keeps the slot of an ended request taken until `until`. Precondition: `until` does not fall.
    auto linger(const RunningRequest &request, MonoTime until) -> void;
    /// Frees the slots that lingered until `now`.
    auto freeLingering(Cell &cell, MonoTime now) -> void;
    /// Follows the rows of `table` and drops what it no longer names and nothing uses.
    auto follow(const Table &table) -> void;
    /// Returns the running requests that `remove` took away, and forgets the list.
    [[nodiscard]] auto takeEnded() -> std::vector<RunningRequest>;

    Revision revision; ///< Of the table last followed.

private:
    /// Where an exchange is.
    struct Place
    {
        CellId cell;
        RowId row;
        bool running = false;
    };
    /// A load that another host told.
    struct RemoteLoad
    {
        CellLoad load;
        MonoTime at;
    };

    auto dequeue(const Place &place, ExchangeId exchange) -> void;
    auto release(const Place &place, ExchangeId exchange) -> RunningRequest;

    std::map<CellId, Cell> cells;
    std::unordered_map<ExchangeId, Place> places;
    std::unordered_map<CellId, RemoteLoad> remote;
    std::vector<RunningRequest> ended;
};

} // namespace flamingograde
