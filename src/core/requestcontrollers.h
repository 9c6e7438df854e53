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

/// The controllers that serve the rows of a table over HTTP.
/// @remarks Not thread safe.
class RequestControllers
{
public:
    /// Precondition: none.
    explicit RequestControllers(Policy policy) : steering(policy) {}

    /// Runs the configuration controller; called before the membership. Precondition: none.
    auto handleConfiguration(Blackboard &board, const Event &event) -> void;
    /// Runs the tenure controller; called after the membership. Precondition: none.
    auto handleTenure(Blackboard &board, const Event &event) -> void;
    /// Runs all other controllers and processes the exchanges that they pass to each other; called
    /// after the stop controller. Precondition: none.
    auto handleRequests(Blackboard &board, const Event &event) -> void;

private:
    auto settleAll(Blackboard &board) -> void;

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
