/// Builds the indexes of a routing table and looks entries up in them.
#include <flamingograde/table.h>

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

template<typename Map, typename Key>
auto findIndex(const Map &map, const Key &key) -> const std::size_t *
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

template<typename Map, typename Key>
auto listOf(const Map &map, const Key &key) -> const typename Map::mapped_type &
{
    static const typename Map::mapped_type none;
    const auto found = map.find(key);
    return found == map.end() ? none : found->second;
}

} // namespace

Table::Table(std::vector<Row> rows, std::vector<Upstream> upstreams, std::vector<TokenKey> keys)
    : rowList(std::move(rows)), upstreamList(std::move(upstreams)), keyList(std::move(keys))
{
    this->rowByAddress.reserve(this->rowList.size());
    this->rowById.reserve(this->rowList.size());
    this->upstreamById.reserve(this->upstreamList.size());
    for (std::size_t i = 0; i < this->rowList.size(); ++i) {
        this->rowByAddress.emplace(this->rowList[i].address, i);
        this->rowById.emplace(this->rowList[i].id, i);
    }
    for (std::size_t i = 0; i < this->upstreamList.size(); ++i) {
        const auto &upstream = this->upstreamList[i];
        this->upstreamById.emplace(upstream.id, i);
        this->upstreamsByService[upstream.service].push_back(i);
        auto &cell = this->upstreamsByCell[upstream.cell()];
        if (cell.empty()) {
            this->zonesByService[upstream.service].push_back(upstream.zone);
        }
        cell.push_back(i);
    }
}

auto Table::rowAt(Address address) const -> const Row *
{
    const auto *index = findIndex(this->rowByAddress, address);
    return index != nullptr ? &this->rowList[*index] : nullptr;
}

auto Table::row(RowId id) const -> const Row *
{
    const auto *index = findIndex(this->rowById, id);
    return index != nullptr ? &this->rowList[*index] : nullptr;
}

auto Table::upstream(UpstreamId id) const -> const Upstream *
{
    const auto *index = findIndex(this->upstreamById, id);
    return index != nullptr ? &this->upstreamList[*index] : nullptr;
}

auto Table::upstreamsOf(ServiceId service) const -> const std::vector<std::size_t> &
{
    return listOf(this->upstreamsByService, service);
}

auto Table::upstreamsOf(CellId cell) const -> const std::vector<std::size_t> &
{
    return listOf(this->upstreamsByCell, cell);
}

auto Table::zonesOf(ServiceId service) const -> const std::vector<ZoneId> &
{
    return listOf(this->zonesByService, service);
}

} // namespace flamingograde
