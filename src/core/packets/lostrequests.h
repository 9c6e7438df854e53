/// Times of the requests that an upstream left unanswered.
#pragma once

#include <flamingograde/clock.h>
#include <flamingograde/config.h>

#include <array>
#include <optional>

namespace flamingograde {

/// The newest `config::lostRequestsMin` requests that callers sent three times without an answer.
///
/// A conclusion drawn from them is only as recent as the oldest of them: a single new lost request
/// does not make older ones recent again.
/// @remarks Not thread safe.
class LostRequests
{
public:
    /// Records a lost request. Precondition: `now` is not before that of the last call.
    auto add(MonoTime now) -> void
    {
        for (auto i = this->times.size() - 1; i > 0; --i) {
            this->times[i] = this->times[i - 1];
        }
        this->times.front() = now;
    }

    /// Removes all. Precondition: none.
    auto clear() -> void { this->times = {}; }

    /// Returns when the oldest of `config::lostRequestsMin` requests was recorded, or nothing if
    /// there are fewer. Precondition: none.
    [[nodiscard]] auto oldestAt() const -> std::optional<MonoTime> { return this->times.back(); }

private:
    std::array<std::optional<MonoTime>, config::lostRequestsMin> times; ///< The newest first.
};

} // namespace flamingograde
