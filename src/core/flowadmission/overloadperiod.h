/// A period in which a service has no room for some of its flows.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/config.h>

#include <cstdint>
#include <optional>

namespace flamingograde {

/// Begins with a refused flow and ends when none was refused for `config::overloadEnd`.
/// @remarks Not thread safe.
class OverloadPeriod
{
public:
    /// Notes a refused flow. Precondition: `now` never decreases.
    auto noteRefusal(MonoTime now) -> void
    {
        this->since = this->since.value_or(now);
        ++this->refusals;
        this->last = now;
    }

    /// Returns whether a flow was refused within the last `config::overloadEnd`.
    [[nodiscard]] auto isOpen(MonoTime now) const -> bool
    {
        return this->since && now - this->last < config::overloadEnd;
    }

    /// Returns when it began; nothing if there is none. Precondition: none.
    [[nodiscard]] auto begin() const -> std::optional<MonoTime> { return this->since; }

    /// Returns the flows refused in it. Precondition: none.
    [[nodiscard]] auto refusedFlows() const -> std::uint64_t { return this->refusals; }

    bool isLogged = false; ///< Its beginning has been logged.

private:
    std::optional<MonoTime> since;
    MonoTime last;
    std::uint64_t refusals = 0;
};

} // namespace flamingograde
