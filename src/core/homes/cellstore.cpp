/// Queues and slots of the cells whose home is this host, and the cell loads reported by other
/// hosts.
#include "core/homes/cellstore.h"

#include <flamingograde/config.h>
#include <flamingograde/table.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace flamingograde {

namespace {

auto loadOfCell(const Cell &cell) -> CellLoad
{
    return { cell.id, cell.slots, static_cast<std::uint32_t>(cell.running.size()),
             static_cast<std::uint32_t>(cell.waiting) };
}

auto copyRowSettings(RowQueue &queue, const Row &row) -> void
{
    queue.row = row.id;
    queue.name = row.name;
    queue.weight = std::max<std::uint32_t>(row.weight, 1);
    queue.urgency = row.urgency;
    queue.concurrent = row.concurrent;
    queue.capacity = row.queue;
    queue.deadline = row.deadline;
}

/// Erases the entries of `map` for which `isGone` holds.
template<typename Map, typename Predicate>
auto eraseIf(Map &map, Predicate isGone) -> void
{
    for (auto entry = map.begin(); entry != map.end();) {
        entry = isGone(*entry) ? map.erase(entry) : std::next(entry);
    }
}

} // namespace

auto CellStore::remove(ExchangeId exchange) -> void
{
    const auto found = this->locations.find(exchange);
    if (found == this->locations.end()) {
        return;
    }
    const auto location = found->second;
    if (location.running) {
        this->endedRequests.push_back(this->release(location, exchange));
    } else {
        this->dequeue(location, exchange);
    }
    this->locations.erase(exchange);
}

auto CellStore::runningIn(CellId cell) const -> std::uint32_t
{
    const auto found = this->cells.find(cell);
    return found == this->cells.end() ? 0
                                      : static_cast<std::uint32_t>(found->second.running.size());
}

auto CellStore::queuedIn(CellId cell) const -> std::uint32_t
{
    const auto found = this->cells.find(cell);
    return found == this->cells.end() ? 0 : static_cast<std::uint32_t>(found->second.waiting);
}

auto CellStore::ownLoads() const -> std::vector<CellLoad>
{
    std::vector<CellLoad> loads;
    for (const auto &[id, cell] : this->cells) {
        if (cell.isHomeHere && (!cell.running.empty() || cell.waiting > 0)) {
            loads.push_back(loadOfCell(cell));
        }
    }
    return loads;
}

auto CellStore::noteRemoteLoad(CellLoad load, MonoTime now) -> void
{
    this->remoteLoads[load.cell] = { load, now };
}

auto CellStore::loadOf(CellId cell, MonoTime now) const -> std::optional<CellLoad>
{
    const auto own = this->cells.find(cell);
    if (own != this->cells.end() && own->second.isHomeHere) {
        return loadOfCell(own->second);
    }
    const auto other = this->remoteLoads.find(cell);
    if (other == this->remoteLoads.end() || now - other->second.receivedAt > config::loadFresh) {
        return std::nullopt;
    }
    return other->second.load;
}

auto CellStore::waitingIn(CellId cell) const -> std::vector<ExchangeId>
{
    std::vector<ExchangeId> list;
    const auto found = this->cells.find(cell);
    if (found == this->cells.end()) {
        return list;
    }
    for (const auto &[id, row] : found->second.rows) {
        list.insert(list.end(), row.waiting.begin(), row.waiting.end());
    }
    return list;
}

auto CellStore::cell(CellId id) -> Cell &
{
    auto &cell = this->cells[id];
    cell.id = id;
    return cell;
}

auto CellStore::queued() const -> std::size_t
{
    return std::accumulate(this->cells.begin(), this->cells.end(), std::size_t { 0 },
                           [](auto sum, const auto &entry) { return sum + entry.second.waiting; });
}

auto CellStore::running() const -> std::size_t
{
    return this->locations.size() - this->queued();
}

auto CellStore::runningAt(CellId cell, UpstreamId upstream) const -> std::uint32_t
{
    const auto found = this->cells.find(cell);
    if (found == this->cells.end()) {
        return 0;
    }
    const auto load = found->second.upstreams.find(upstream);
    return load == found->second.upstreams.end() ? 0 : load->second.running;
}

auto CellStore::enqueue(CellId cellId, const Row &row, ExchangeId exchange) -> RowQueue &
{
    auto &cell = this->cell(cellId);
    auto &queue = cell.rows[row.id];
    copyRowSettings(queue, row);
    if (queue.waiting.empty()) {
        queue.startTag = std::max(queue.startTag, cell.virtualTime);
    }
    queue.waiting.push_back(exchange);
    ++cell.waiting;
    this->locations[exchange] = { cellId, row.id, false };
    return queue;
}

auto CellStore::start(const RunningRequest &request) -> void
{
    auto &location = this->locations.at(request.exchange);
    this->dequeue(location, request.exchange);
    location.running = true;
    auto &cell = this->cell(request.cell);
    ++cell.rows[request.row].running;
    ++cell.upstreams[request.upstream].running;
    cell.running[request.exchange] = request;
}

auto CellStore::findRunning(ExchangeId exchange) -> RunningRequest *
{
    const auto found = this->locations.find(exchange);
    if (found == this->locations.end() || !found->second.running) {
        return nullptr;
    }
    return &this->cell(found->second.cell).running.at(exchange);
}

auto CellStore::isWaiting(ExchangeId exchange) const -> bool
{
    const auto found = this->locations.find(exchange);
    return found != this->locations.end() && !found->second.running;
}

auto CellStore::linger(const RunningRequest &request, MonoTime until) -> void
{
    auto &cell = this->cell(request.cell);
    ++cell.upstreams[request.upstream].running;
    cell.lingering.push_back({ request.upstream, until });
}

auto CellStore::freeLingering(Cell &cell, MonoTime now) -> void
{
    while (!cell.lingering.empty() && cell.lingering.front().until <= now) {
        --cell.upstreams[cell.lingering.front().upstream].running;
        cell.lingering.pop_front();
    }
}

auto CellStore::applyTable(const Table &table) -> void
{
    for (auto &[id, cell] : this->cells) {
        for (auto &[rowId, queue] : cell.rows) {
            if (const auto *row = table.row(rowId)) {
                copyRowSettings(queue, *row);
            }
        }
        eraseIf(cell.rows, [&](const auto &entry) {
            const auto &queue = entry.second;
            return queue.waiting.empty() && queue.running == 0 && table.row(entry.first) == nullptr;
        });
        eraseIf(cell.upstreams, [&](const auto &entry) {
            return entry.second.running == 0 && table.upstream(entry.first) == nullptr;
        });
    }
}

auto CellStore::takeEnded() -> std::vector<RunningRequest>
{
    return std::exchange(this->endedRequests, {});
}

auto CellStore::dequeue(const Location &location, ExchangeId exchange) -> void
{
    auto &cell = this->cell(location.cell);
    auto &waiting = cell.rows[location.row].waiting;
    waiting.erase(std::find(waiting.begin(), waiting.end(), exchange));
    --cell.waiting;
}

auto CellStore::release(const Location &location, ExchangeId exchange) -> RunningRequest
{
    auto &cell = this->cell(location.cell);
    const auto request = cell.running.at(exchange);
    cell.running.erase(exchange);
    --cell.rows[location.row].running;
    --cell.upstreams[request.upstream].running;
    return request;
}

} // namespace flamingograde
