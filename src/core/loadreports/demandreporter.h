/// Extra demand reports while slots are scarce.
#pragma once

#include <flamingograde/clock.h>

namespace flamingograde {

class Blackboard;

/// Sends demand reports each `config::demandReportPeriod` while the slots of a service are scarce.
///
/// Otherwise the reports that go with the pings between hosts suffice, so that a calm fleet sends
/// no message more.
/// @remarks Not thread safe.
class DemandReporter
{
public:
    /// Sends what is due. Precondition: called on each `Tick`.
    auto tick(Blackboard &board) -> void;

private:
    MonoTime nextReport;
};

} // namespace flamingograde
