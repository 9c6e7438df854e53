/// Tracks the health of upstreams from traffic and probes.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;

/// Probes the upstreams of the cells that this host is home of, ejects failing upstreams, ramps up
/// cold ones and limits the requests to those that shed load. The results of traffic take
/// precedence; probes are only hints.
/// @remarks Not thread safe.
class UpstreamController
{
public:
    /// Handles an event. To be called before the slots of ended requests are freed.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto syncWithTable(Blackboard &board) -> void;
    auto onProgress(Blackboard &board, const ExchangeProgress &event) -> void;
    auto onReport(Blackboard &board, const UpstreamReport &report) -> void;
    auto onTick(Blackboard &board) -> void;
};

} // namespace flamingograde
