/// Learns from traffic and probes how upstreams are.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/ids.h>

namespace flamingograde {

class Blackboard;

/// Probes the upstreams of the cells that this host is home of, ejects those that fail, ramps up
/// cold ones and slows down for those that shed. Traffic goes first; probes are hints.
/// @remarks Not thread safe.
class UpstreamController
{
public:
    /// Takes an event before the slots of ended requests are freed.
    auto handle(Blackboard &board, const Event &event) -> void;

private:
    auto followTable(Blackboard &board) -> void;
    auto onProgress(Blackboard &board, const ExchangeProgress &event) -> void;
    auto onReport(Blackboard &board, const UpstreamReport &report) -> void;
    auto onTick(Blackboard &board) -> void;
};

} // namespace flamingograde
