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

/// Checks the keys of non-idempotent requests at their home and answers repeats.
/// @remarks Not thread safe.
class KeyController
{
public:
    /// Takes the results of dispatched keys, former homes' words and their questions.
    auto handle(Blackboard &board, const Event &event) -> void;

    /// Checks what is in `board.toAdmit` and hands on to `board.toQueue` what may be run.
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
