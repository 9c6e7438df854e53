/// The requests under way in this host.
#pragma once

#include "core/requests/exchange.h"

#include <flamingograde/clock.h>
#include <flamingograde/ids.h>

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace flamingograde {

/// Owns the exchanges and knows which are past their deadline.
/// @remarks Not thread safe.
class ExchangeStore
{
public:
    /// Adds `exchange`. Precondition: its id is new.
    /// @returns the stored exchange; the reference holds until it is erased.
    auto add(Exchange exchange) -> Exchange &;

    /// Returns the exchange, or null.
    [[nodiscard]] auto find(ExchangeId id) -> Exchange *;

    /// Removes the exchange, if it is there.
    auto erase(ExchangeId id) -> void;

    /// Returns the exchanges whose deadline is at or before `now`, earliest first.
    [[nodiscard]] auto expired(MonoTime now) const -> std::vector<ExchangeId>;

    /// Has the exchange placed again at `when`. Precondition: it is stored and waits for nothing.
    auto placeLater(ExchangeId id, MonoTime when) -> void;

    /// Returns the exchanges whose time to be placed again has come; some may be gone.
    [[nodiscard]] auto takeToPlace(MonoTime now) -> std::vector<ExchangeId>;

    [[nodiscard]] auto size() const -> std::size_t { return this->byId.size(); }
    [[nodiscard]] auto all() const -> const std::unordered_map<ExchangeId, Exchange> &
    {
        return this->byId;
    }

private:
    std::unordered_map<ExchangeId, Exchange> byId;
    std::multimap<MonoTime, ExchangeId> byDeadline;
    std::multimap<MonoTime, ExchangeId> byPlacing; ///< May name exchanges that are gone.
};

} // namespace flamingograde
