/// Compares versions of rows and indexes them by address.
#include "core/directory/rowtable.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace flamingograde {

namespace {

auto isNewer(const PacketRows &rows, const PacketRows &others) -> bool
{
    if (rows.version != others.version) {
        return others.version < rows.version;
    }
    return others.changed < rows.changed;
}

/// Adds the services of `row` to `servicesEverHad`, without duplicates.
auto addServices(const PacketRow &row, std::vector<ServiceId> &servicesEverHad) -> void
{
    for (const auto &share : row.shares) {
        if (std::find(servicesEverHad.begin(), servicesEverHad.end(), share.service)
            == servicesEverHad.end()) {
            servicesEverHad.push_back(share.service);
        }
    }
}

} // namespace

auto RowTable::apply(const std::shared_ptr<const PacketRows> &offered, MonoTime now) -> bool
{
    if (this->rows != nullptr && !isNewer(*offered, *this->rows)) {
        return false;
    }
    auto before = std::exchange(this->byAddress, {});
    this->firstRowsAt = this->rows == nullptr ? now : this->firstRowsAt;
    this->rows = offered;
    this->byAddress.reserve(offered->rows.size());
    for (const auto &row : offered->rows) {
        RowEntry entry { &row, std::move(before[row.address].servicesEverHad) };
        addServices(row, entry.servicesEverHad);
        this->byAddress.emplace(row.address, std::move(entry));
    }
    return true;
}

auto RowTable::setChanged(Revision at) -> void
{
    if (this->rows == nullptr) {
        return;
    }
    auto marked = std::make_shared<PacketRows>(*this->rows);
    marked->changed = at;
    for (auto &[address, entry] : this->byAddress) {
        entry.row = marked->rows.data() + (entry.row - this->rows->rows.data());
    }
    this->rows = std::move(marked);
}

auto RowTable::at(Address address) const -> const RowEntry *
{
    const auto found = this->byAddress.find(address);
    return found == this->byAddress.end() ? nullptr : &found->second;
}

} // namespace flamingograde
