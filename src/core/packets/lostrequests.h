/// Requests that an upstream left unanswered, and when.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/config.h>

#include <array>
#include <optional>

namespace flamingograde {

/// The newest `config::lostFlows` requests that were sent three times without an answer.
///
/// What rests on them is as old as the oldest one: a single new one does not renew old word.
/// @remarks Not thread safe.
class LostRequests
{
public:
    /// Takes one more. Precondition: `now` is not before that of the last call.
    auto add(MonoTime now) -> void
    {
        for (auto i = this->times.size() - 1; i > 0; --i) {
            this->times[i] = this->times[i - 1];
        }
        this->times.front() = now;
    }

    /// Forgets all. Precondition: none.
    auto clear() -> void { this->times = {}; }

    /// Returns when the oldest was found, or nothing where there are fewer. Precondition: none.
    [[nodiscard]] auto provenAt() const -> std::optional<MonoTime> { return this->times.back(); }

private:
    std::array<std::optional<MonoTime>, config::lostFlows> times; ///< The newest first.
};

} // namespace flamingograde
