/// The faults that an upstream stand-in can simulate.
#pragma once

#include "standins/common/asio.h"

#include <optional>
#include <string>

namespace standins {

/// What the endpoint `/healthz` answers.
enum class HealthMode {
    Ok,       ///< The actual state.
    Cold,     ///< Status 503 and `cold`.
    Draining, ///< Status 503 and `draining`.
    Lie,      ///< Status 200, `ok` and a load of 0, regardless of the actual state.
};

/// Where an answer is cut off before the connection is closed.
enum class CutPoint {
    None,
    Head,   ///< In the middle of the head.
    Middle, ///< In the middle of the body.
};

/// The faults that the command `set` switches on and off.
struct Faults
{
    bool shed = false;          ///< Answers all requests except feeds and `/healthz` with 503.
    bool freezeAnswers = false; ///< Holds back answers of requests that were run.
    bool silent = false;        ///< Holds back all answers and feed events.
    CutPoint cutAnswers = CutPoint::None; ///< Applies to answers of requests that were run.
    HealthMode health = HealthMode::Ok;
    std::optional<double> load; ///< Load reported by `/healthz` instead of the actual one.

    /// Changes the faults given in `json`. @throws std::exception if a value is invalid.
    auto update(const Json &json) -> void;
};

} // namespace standins
