/// The controllers in the order in which they run.
#pragma once

#include "core/admission/admissioncontroller.h"
#include "core/configuration/configcontroller.h"
#include "core/feeds/feedcontroller.h"
#include "core/homes/tenurecontroller.h"
#include "core/keys/keycontroller.h"
#include "core/membership/membershipcontroller.h"
#include "core/placement/steeringcontroller.h"
#include "core/requests/arrivalcontroller.h"
#include "core/requests/outcomecontroller.h"
#include "core/stop/stopcontroller.h"
#include "core/upstreams/upstreamcontroller.h"

#include <flamingograde/event.h>

namespace flamingograde {

class Blackboard;

/// Owns the controllers. Each reads and writes the blackboard; none calls another.
/// @remarks Not thread safe.
class Controllers
{
public:
    /// Precondition: none.
    explicit Controllers(Policy policy) : steering(policy) {}

    /// Has each controller take the event, then settles what they handed on. Precondition: none.
    auto run(Blackboard &board, const Event &event) -> void;

private:
    auto settle(Blackboard &board) -> void;

    ConfigController config;
    MembershipController membership;
    TenureController tenure;
    StopController stop;
    UpstreamController upstream;
    OutcomeController outcome;
    ArrivalController arrival;
    FeedController feed;
    SteeringController steering;
    KeyController key;
    AdmissionController admission;
};

} // namespace flamingograde
