/// The table of rows, upstreams and token keys.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/revision.h>
#include <flamingograde/row.h>
#include <flamingograde/tokenkey.h>
#include <flamingograde/upstream.h>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace flamingograde {

/// A valid table with its indices. Immutable once built.
/// @remarks Thread safe for readers.
class Table
{
public:
    Table() = default;

    /// Builds the indices. Precondition: names and addresses are unique, as `parseTable` checks.
    Table(std::vector<Row> rows, std::vector<Upstream> upstreams, std::vector<TokenKey> keys);

    [[nodiscard]] auto rows() const -> const std::vector<Row> & { return this->rowList; }
    [[nodiscard]] auto upstreams() const -> const std::vector<Upstream> &
    {
        return this->upstreamList;
    }
    [[nodiscard]] auto tokenKeys() const -> const std::vector<TokenKey> & { return this->keyList; }

    /// Returns the row with the address `address`, or null.
    [[nodiscard]] auto rowAt(Address address) const -> const Row *;
    /// Returns the row with the id `id`, or null.
    [[nodiscard]] auto row(RowId id) const -> const Row *;
    /// Returns the upstream with the id `id`, or null.
    [[nodiscard]] auto upstream(UpstreamId id) const -> const Upstream *;
    /// Returns the indices into `upstreams()` of the service's upstreams; empty if unknown.
    [[nodiscard]] auto upstreamsOf(ServiceId service) const -> const std::vector<std::size_t> &;
    /// Returns the indices into `upstreams()` of the cell's upstreams; empty if unknown.
    [[nodiscard]] auto upstreamsOf(CellId cell) const -> const std::vector<std::size_t> &;
    /// Returns the zones in which `service` has upstreams, each once, in the order of the table.
    [[nodiscard]] auto zonesOf(ServiceId service) const -> const std::vector<ZoneId> &;

private:
    std::vector<Row> rowList;
    std::vector<Upstream> upstreamList;
    std::vector<TokenKey> keyList;
    std::unordered_map<Address, std::size_t> rowByAddress;
    std::unordered_map<RowId, std::size_t> rowById;
    std::unordered_map<UpstreamId, std::size_t> upstreamById;
    std::unordered_map<ServiceId, std::vector<std::size_t>> upstreamsByService;
    std::unordered_map<CellId, std::vector<std::size_t>> upstreamsByCell;
    std::unordered_map<ServiceId, std::vector<ZoneId>> zonesByService;
};

} // namespace flamingograde
