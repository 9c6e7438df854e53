/// Runs each idempotency key at most once.
#pragma once

#include <flamingograde/event.h>
#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <string>

namespace flamingograde {

class Blackboard;
struct Exchange;
struct KeyName;
struct KeyRecord;

/// Checks the idempotency keys of non-idempotent requests at their home, and answers repeats of a
/// key without running them.
/// @remarks Not thread safe.
class KeyController
{
public:
    /// Handles the progress of dispatched requests, key lookups from other hosts, the reports of
    /// former homes, the loss of a peer, and ticks.
    auto handle(Blackboard &board, const Event &event) -> void;

    /// Checks the exchanges in `board.toAdmit` and moves those that may be run to `board.toQueue`.
    /// Also rechecks parked exchanges, and repeats whose first request was not run.
    auto settle(Blackboard &board) -> void;

private:
    auto onProgress(Blackboard &board, const ExchangeProgress &event) -> void;
    auto onLookup(Blackboard &board, HostId from, const KeyLookup &lookup) -> void;
    auto onReport(Blackboard &board, HostId from, const KeyReport &report) -> void;
    auto onTick(Blackboard &board) -> void;
    auto admit(Blackboard &board, Exchange &exchange) -> void;
    auto admitRepeat(Blackboard &board, Exchange &exchange, const KeyName &name,
                     const KeyRecord &record) -> void;
    auto admitUnseen(Blackboard &board, Exchange &exchange, const KeyName &name) -> void;
};

} // namespace flamingograde
