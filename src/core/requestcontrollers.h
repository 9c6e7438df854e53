/// The controllers of HTTP rows in the order in which they run.
#pragma once

#include "core/admission/admissioncontroller.h"
#include "core/configuration/configcontroller.h"
#include "core/feeds/feedcontroller.h"
#include "core/homes/tenurecontroller.h"
#include "core/keys/keycontroller.h"
#include "core/placement/steeringcontroller.h"
#include "core/requests/arrivalcontroller.h"
#include "core/requests/outcomecontroller.h"
#include "core/upstreams/upstreamcontroller.h"

#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// What serves the rows of a table over HTTP.
/// @remarks Not thread safe.
class RequestControllers
{
public:
    /// Precondition: none.
    explicit RequestControllers(Policy policy) : steering(policy) {}

    /// Takes the event before the membership does. Precondition: none.
    auto configure(Blackboard &board, const Event &event) -> void;
    /// Takes the event after the membership did. Precondition: none.
    auto claim(Blackboard &board, const Event &event) -> void;
    /// Takes the event after the stop did, and settles what the controllers handed on.
    /// Precondition: none.
    auto serve(Blackboard &board, const Event &event) -> void;

private:
    auto settle(Blackboard &board) -> void;

    ConfigController config;
    TenureController tenure;
    UpstreamController upstream;
    OutcomeController outcome;
    ArrivalController arrival;
    FeedController feed;
    SteeringController steering;
    KeyController key;
    AdmissionController admission;
};

} // namespace flamingograde
