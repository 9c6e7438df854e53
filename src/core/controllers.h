/// The controllers in the order in which they run.
#pragma once

#include "core/admissioncontroller.h"
#include "core/arrivalcontroller.h"
#include "core/configcontroller.h"
#include "core/feedcontroller.h"
#include "core/keycontroller.h"
#include "core/membershipcontroller.h"
#include "core/outcomecontroller.h"
#include "core/steeringcontroller.h"
#include "core/stopcontroller.h"
#include "core/tenurecontroller.h"
#include "core/upstreamcontroller.h"

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
