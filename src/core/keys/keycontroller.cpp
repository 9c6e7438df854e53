/// Runs each idempotency key at most once.
#include "core/keys/keycontroller.h"

#include "core/blackboard.h"
#include "core/homes/returntoplacement.h"
#include "core/keys/keyfreshness.h"
#include "core/overloaded.h"
#include "core/requests/answermeaning.h"
#include "core/requests/refuse.h"

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

auto toMicroseconds(WallTime time) -> std::int64_t
{
    return time.time_since_epoch().count();
}

auto refuseKey(Blackboard &board, Exchange &exchange, RefusalReason reason, Verdict verdict) -> void
{
    const auto retryAfter =
            reason == RefusalReason::KeyRunning ? Duration(config::retryAfterMin) : Duration { 0 };
    board.log(LogEvent::KeyAnsweredUnknown, "key=" + exchange.key);
    refuse(board, exchange, Refusal { reason, verdict, retryAfter });
}

/// Answers a repeat of a key that was run: with the stored answer, or with a refusal if none is
/// stored.
auto answerCompleted(Blackboard &board, Exchange &exchange,
                     const std::shared_ptr<const std::string> &answer) -> void
{
    if (answer == nullptr) {
        refuseKey(board, exchange, RefusalReason::KeyUnknown, Verdict::Run);
        return;
    }
    ++board.stats.replayed;
    board.log(LogEvent::KeyAnsweredAgain, "key=" + exchange.key);
    board.addAction(ReplayAnswer { exchange.id, answer });
    forget(board, exchange.id);
}

/// Records the end of `exchange`, a first request, and answers the repeats that waited for it.
auto finishKey(Blackboard &board, ExchangeId exchange, KeyState state,
               const std::shared_ptr<const std::string> &answer) -> void
{
    for (const auto id : board.keys.finish(exchange, state, answer)) {
        auto *repeat = board.exchanges.find(id);
        if (repeat == nullptr) {
            continue;
        }
        if (state == KeyState::Done) {
            answerCompleted(board, *repeat, answer);
        } else {
            refuseKey(board, *repeat, RefusalReason::KeyUnknown, Verdict::Unknown);
        }
    }
}

/// Returns the state of a key to report to another host. Reports `Unseen` only if this host was
/// home of the cell and can no longer run the key.
auto reportedState(Blackboard &board, const KeyLookup &lookup) -> KeyState
{
    const auto state = board.keys.stateOf(lookup.cell, lookup.key);
    if (state != KeyState::Unseen) {
        return state;
    }
    if (const auto inheritedState = board.keys.inherited({ lookup.cell, lookup.key })) {
        return *inheritedState;
    }
    const auto mayDispatch =
            board.tenure.since(lookup.cell).has_value() || board.tenure.isClaiming(lookup.cell);
    const auto wasHome = board.keys.tenureOf(lookup.cell).has_value();
    return mayDispatch || !wasHome ? KeyState::Unknown : KeyState::Unseen;
}

/// Parks a request while this host claims its cell, and gives it back otherwise. Refuses it if too
/// many are parked.
auto parkOrGiveBack(Blackboard &board, Exchange &exchange) -> void
{
    if (!board.tenure.isClaiming(exchange.cell)) {
        returnToPlacement(board, exchange);
        return;
    }
    if (board.keys.parkedCount() >= config::keysParkedMax) {
        refuse(board, exchange, RefusalReason::NoHome, config::retryAfterMin);
        return;
    }
    board.keys.park(exchange.id);
}

/// Refuses a key about which no former home can be asked or none has answered. The verdict is `Run`
/// if the former home handed the key over as `Done`, otherwise `Unknown`.
auto refuseUnproven(Blackboard &board, Exchange &exchange) -> void
{
    const auto inheritedState = board.keys.inherited({ exchange.cell, exchange.key });
    const auto verdict = inheritedState == KeyState::Done ? Verdict::Run : Verdict::Unknown;
    refuseKey(board, exchange, RefusalReason::KeyUnknown, verdict);
}

/// Refuses the request of a lookup that the former home did not answer.
auto onLookupFailed(Blackboard &board, const PendingLookup &lookup) -> void
{
    auto *exchange = board.exchanges.find(lookup.exchange);
    if (exchange != nullptr && exchange->stage == Stage::Looking) {
        refuseUnproven(board, *exchange);
    }
}

/// Refuses a key that a former home reports as dispatched. Records the state unless it is
/// `Running`, so that later repeats need no lookup.
auto refuseDispatched(Blackboard &board, Exchange &exchange, KeyState state) -> void
{
    if (state == KeyState::Running) {
        refuseKey(board, exchange, RefusalReason::KeyRunning, Verdict::Unknown);
        return;
    }
    const auto id = exchange.id;
    const auto verdict = state == KeyState::Done ? Verdict::Run : Verdict::Unknown;
    board.keys.dispatched(id, 0, board.now);
    finishKey(board, id, state, nullptr);
    refuseKey(board, exchange, RefusalReason::KeyUnknown, verdict);
}

} // namespace

auto KeyController::handle(Blackboard &board, const Event &event) -> void
{
    std::visit(Overloaded {
                       [&](const ExchangeProgress &progress) { this->onProgress(board, progress); },
                       [&](const PeerMessage &message) {
                           if (const auto *lookup = std::get_if<KeyLookup>(&message.message)) {
                               this->onLookup(board, message.from, *lookup);
                           }
                           if (const auto *report = std::get_if<KeyReport>(&message.message)) {
                               this->onReport(board, message.from, *report);
                           }
                       },
                       [&](const PeerDown &down) {
                           for (const auto &lookup : board.keys.takeLookupsTo(down.host)) {
                               onLookupFailed(board, lookup);
                           }
                       },
                       [&](const Tick &) { this->onTick(board); },
                       [](const auto &) {},
               },
               event);
}

auto KeyController::settle(Blackboard &board) -> void
{
    for (const auto id : board.keys.takeOrphans()) {
        if (board.keys.findByFirst(id) != nullptr) {
            finishKey(board, id, KeyState::Unknown, nullptr);
        }
    }
    auto ids = board.keys.takeParked();
    const auto released = board.keys.takeReleased();
    ids.insert(ids.end(), released.begin(), released.end());
    const auto arrived = std::exchange(board.toAdmit, {});
    ids.insert(ids.end(), arrived.begin(), arrived.end());
    for (const auto id : ids) {
        auto *exchange = board.exchanges.find(id);
        if (exchange != nullptr) {
            this->admit(board, *exchange);
        }
    }
    board.stats.keys = board.keys.size();
}

auto KeyController::onProgress(Blackboard &board, const ExchangeProgress &event) -> void
{
    const auto *record = board.keys.findByFirst(event.exchange);
    if (record == nullptr || record->state != KeyState::Running
        || record->attempt != event.attempt) {
        return;
    }
    switch (event.progress) {
    case Progress::NotSent:
        board.keys.clear(event.exchange);
        return;
    case Progress::Answering:
        if (event.head.has_value() && isNotRunResponse(*event.head)) {
            board.keys.clear(event.exchange);
        }
        return;
    case Progress::Answered:
        finishKey(board, event.exchange, KeyState::Done, event.whole);
        return;
    case Progress::Lost:
    case Progress::Cut:
        finishKey(board, event.exchange, KeyState::Unknown, nullptr);
        return;
    }
}

auto KeyController::onLookup(Blackboard &board, HostId from, const KeyLookup &lookup) -> void
{
    KeyReport report;
    report.sequence = lookup.sequence;
    report.state = reportedState(board, lookup);
    const auto known = board.keys.tenureOf(lookup.cell).value_or(KnownFrom { board.now.wall, {} });
    report.tenureSinceUs = toMicroseconds(knownFromNow(board, lookup.cell, known).since);
    board.addAction(SendPeer { from, report });
}

auto KeyController::onReport(Blackboard &board, HostId from, const KeyReport &report) -> void
{
    const auto lookup = board.keys.takeLookup(report.sequence);
    if (!lookup.has_value() || lookup->host != from) {
        return;
    }
    auto *exchange = board.exchanges.find(lookup->exchange);
    if (exchange == nullptr || exchange->stage != Stage::Looking) {
        return;
    }
    const auto inheritedState = board.keys.inherited({ exchange->cell, exchange->key });
    const auto isUnknown = report.state == KeyState::Unknown;
    const auto state = isUnknown ? inheritedState.value_or(report.state) : report.state;
    if (state != KeyState::Unseen) {
        refuseDispatched(board, *exchange, state);
        return;
    }
    const auto known = board.tenure.knownFrom(exchange->cell).value_or(KnownFrom {});
    const KnownFrom reported { WallTime(Duration(report.tenureSinceUs)), known.coveredRevision };
    if (!isProvablyFreshGiven(board, *exchange, reported)) {
        refuseKey(board, *exchange, RefusalReason::KeyUnknown, Verdict::Unknown);
        return;
    }
    exchange->stage = Stage::Admitting;
    board.toQueue.push_back(exchange->id);
}

auto KeyController::onTick(Blackboard &board) -> void
{
    board.keys.expire(board.now.mono);
    for (const auto &lookup :
         board.keys.takeLookupsBefore(board.now.mono - config::keyLookupTimeout)) {
        onLookupFailed(board, lookup);
    }
    for (const auto &[cell, tenure] : board.tenure.all()) {
        board.keys.recordTenure(cell, *board.tenure.knownFrom(cell));
    }
}

auto KeyController::admit(Blackboard &board, Exchange &exchange) -> void
{
    exchange.stage = Stage::Admitting;
    exchange.maybeSent = exchange.earlierAttemptMaybeSent;
    const auto hasSharedKey =
            !exchange.idempotent && !exchange.hasGeneratedKey && !exchange.key.empty();
    if (!hasSharedKey) {
        board.toQueue.push_back(exchange.id);
        return;
    }
    if (exchange.keyCreated.has_value()
        && *exchange.keyCreated > board.now.wall + board.init.clockBound) {
        refuse(board, exchange, RefusalReason::BadKey, Duration { 0 });
        return;
    }
    const KeyName name { exchange.cell, exchange.key };
    const auto *record = board.keys.find(name);
    if (record != nullptr) {
        this->admitRepeat(board, exchange, name, *record);
        return;
    }
    this->admitUnseen(board, exchange, name);
}

auto KeyController::admitRepeat(Blackboard &board, Exchange &exchange, const KeyName &name,
                                const KeyRecord &record) -> void
{
    switch (record.state) {
    case KeyState::Unseen:
    case KeyState::Running:
        exchange.stage = Stage::Attached;
        exchange.maybeSent = exchange.earlierAttemptMaybeSent || record.state == KeyState::Running;
        board.keys.attach(name, exchange.id);
        return;
    case KeyState::Done:
        answerCompleted(board, exchange, record.answer);
        return;
    case KeyState::Unknown:
        refuseKey(board, exchange, RefusalReason::KeyUnknown, Verdict::Unknown);
        return;
    }
}

auto KeyController::admitUnseen(Blackboard &board, Exchange &exchange, const KeyName &name) -> void
{
    const auto known = board.tenure.knownFrom(exchange.cell);
    if (!known.has_value()) {
        parkOrGiveBack(board, exchange);
        return;
    }
    board.keys.recordTenure(exchange.cell, *known);
    if (!board.keys.inherited(name) && isProvablyFresh(board, exchange)) {
        board.keys.reserve(name, exchange.id);
        board.toQueue.push_back(exchange.id);
        return;
    }
    const auto former = board.tenure.formerHome(exchange.cell);
    if (!former.isValid() || former == board.init.self.id) {
        refuseUnproven(board, exchange);
        return;
    }
    board.keys.reserve(name, exchange.id);
    exchange.stage = Stage::Looking;
    const auto sequence = board.keys.addLookup({ exchange.id, former, board.now.mono });
    board.addAction(SendPeer { former, KeyLookup { sequence, exchange.cell, exchange.key } });
}

} // namespace flamingograde
