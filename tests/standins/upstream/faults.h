/// How an upstream misbehaves.
#pragma once

#include "standins/common/asio.h"

#include <optional>
#include <string>

namespace standins {

/// What the health endpoint says.
enum class HealthMode {
    Ok,       ///< The truth.
    Cold,     ///< 503 and `cold`.
    Draining, ///< 503 and `draining`.
    Lie,      ///< 200, `ok` and no load, whatever is the case.
};

/// Where an answer breaks off.
enum class CutAnswers {
    None,
    Head,   ///< Within the head.
    Middle, ///< Within the body.
};

/// The faults that `set` turns on and off.
struct Faults
{
    bool shed = false;          ///< Refuse every request.
    bool freezeAnswers = false; ///< Hold back the answers of requests.
    bool silent = false;        ///< Hold back everything.
    CutAnswers cutAnswers = CutAnswers::None;
    HealthMode health = HealthMode::Ok;
    std::optional<double> load; ///< What the load endpoint says instead of the truth.

    /// Changes the faults that `json` names. @throws std::exception on a wrong value.
    auto update(const Json &json) -> void;
};

} // namespace standins
