/// Requests in progress, indexed by id, by deadline and by time of the next placement.
#include "core/requests/exchangestore.h"

#include <utility>

namespace flamingograde {

auto ExchangeStore::add(Exchange exchange) -> Exchange &
{
    const auto id = exchange.id;
    this->byDeadline.emplace(exchange.deadline, id);
    return this->byId.insert_or_assign(id, std::move(exchange)).first->second;
}

auto ExchangeStore::find(ExchangeId id) -> Exchange *
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : &found->second;
}

auto ExchangeStore::erase(ExchangeId id) -> void
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end()) {
        return;
    }
    const auto range = this->byDeadline.equal_range(found->second.deadline);
    for (auto entry = range.first; entry != range.second; ++entry) {
        if (entry->second == id) {
            this->byDeadline.erase(entry);
            break;
        }
    }
    this->byId.erase(found);
}

auto ExchangeStore::expired(MonoTime now) const -> std::vector<ExchangeId>
{
    std::vector<ExchangeId> ids;
    for (auto entry = this->byDeadline.begin();
         entry != this->byDeadline.end() && entry->first <= now; ++entry) {
        ids.push_back(entry->second);
    }
    return ids;
}

auto ExchangeStore::placeLater(ExchangeId id, MonoTime when) -> void
{
    this->byPlacementTime.emplace(when, id);
}

auto ExchangeStore::takeDueForPlacement(MonoTime now) -> std::vector<ExchangeId>
{
    std::vector<ExchangeId> due;
    while (!this->byPlacementTime.empty() && this->byPlacementTime.begin()->first <= now) {
        due.push_back(this->byPlacementTime.begin()->second);
        this->byPlacementTime.erase(this->byPlacementTime.begin());
    }
    return due;
}

} // namespace flamingograde
