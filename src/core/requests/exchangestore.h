/// Store of the requests in progress on this host.
#pragma once

#include "core/requests/exchange.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace flamingograde {

/// Owns the exchanges, indexes them by deadline and queues those to be placed later.
/// @remarks Not thread safe.
class ExchangeStore
{
public:
    /// Adds `exchange`. Precondition: its id is not stored yet.
    /// @returns the stored exchange; the reference holds until it is erased.
    auto add(Exchange exchange) -> Exchange &;

    /// Returns the exchange, or null if it is not stored.
    [[nodiscard]] auto find(ExchangeId id) -> Exchange *;

    /// Removes the exchange, if it is stored.
    auto erase(ExchangeId id) -> void;

    /// Returns the exchanges whose deadline is at or before `now`, earliest first.
    [[nodiscard]] auto expired(MonoTime now) const -> std::vector<ExchangeId>;

    /// Queues the exchange for another placement at `when`. Precondition: it is stored and waits
    /// for nothing else.
    auto placeLater(ExchangeId id, MonoTime when) -> void;

    /// Removes the exchanges due for placement at `now` from the queue and returns them. Some may
    /// have been erased from the store.
    [[nodiscard]] auto takeDueForPlacement(MonoTime now) -> std::vector<ExchangeId>;

    [[nodiscard]] auto size() const -> std::size_t { return this->byId.size(); }
    [[nodiscard]] auto all() const -> const std::unordered_map<ExchangeId, Exchange> &
    {
        return this->byId;
    }

private:
    std::unordered_map<ExchangeId, Exchange> byId;
    std::multimap<MonoTime, ExchangeId> byDeadline;
    std::multimap<MonoTime, ExchangeId> byPlacementTime; ///< May hold exchanges that were erased.
};

} // namespace flamingograde
