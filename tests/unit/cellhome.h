/// Test fixture that simulates the home of a cell in virtual time: the controllers of admission,
/// keys, outcomes and upstreams, with scripted upstreams behind them.
#pragma once

#include "core/admission/admissioncontroller.h"
#include "core/blackboard.h"
#include "core/keys/idempotencykey.h"
#include "core/keys/keycontroller.h"
#include "core/keys/keyplacement.h"
#include "core/requests/outcomecontroller.h"
#include "core/upstreams/upstreamcontroller.h"

#include <flamingograde/event.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace flamingograde {

using namespace std::chrono_literals;

/// A host that is the home of the only cell, of service "pack" in zone "z1".
class CellHome
{
public:
    const ServiceId service = ServiceId::ofName("pack");
    const ZoneId zone = ZoneId::ofName("z1");
    const CellId cell = cellOf(this->service, this->zone);
    const HostId former = HostId::ofName("h2");

    Blackboard board { Init {} };
    std::vector<Row> rows;
    std::vector<Upstream> upstreams;
    std::map<UpstreamId, std::uint32_t> running;
    std::map<UpstreamId, std::uint32_t> dispatched;
    std::map<UpstreamId, std::uint32_t> most; ///< Most requests that ran simultaneously.
    std::map<ExchangeId, Refusal> refused;
    std::map<ExchangeId, Dispatch> sent;
    std::map<ExchangeId, std::shared_ptr<const std::string>> replayed;
    std::vector<ExchangeId> order; ///< Exchanges in the order of their dispatch.
    std::vector<ProbeUpstream> probes;
    std::vector<SendPeer> messages;
    std::vector<ExchangeId> placed;                   ///< Exchanges handed back to be placed again.
    std::function<void(const Dispatch &)> onDispatch; ///< Called for each dispatch.

    CellHome() { this->board.now = { MonoTime(1000s), WallTime(1700000000s) }; }

    auto addRow(const std::string &name) -> Row &
    {
        Row row;
        row.id = RowId::ofName(name);
        row.name = name;
        row.service = this->service;
        row.serviceName = "pack";
        row.address = { 1, static_cast<std::uint16_t>(this->rows.size() + 1) };
        row.queue = 1000;
        this->rows.push_back(row);
        return this->rows.back();
    }

    auto addUpstream(const std::string &name, std::uint32_t slots) -> UpstreamId
    {
        Upstream upstream;
        upstream.id = UpstreamId::ofName(name);
        upstream.name = name;
        upstream.service = this->service;
        upstream.serviceName = "pack";
        upstream.zone = this->zone;
        upstream.zoneName = "z1";
        upstream.address = { 2, static_cast<std::uint16_t>(this->upstreams.size() + 1) };
        upstream.slots = slots;
        this->upstreams.push_back(upstream);
        return upstream.id;
    }

    /// Puts a table of `rows` and `upstreams` in force as the next revision.
    auto publish() -> void
    {
        this->board.config.table =
                std::make_shared<const Table>(this->rows, this->upstreams, std::vector<TokenKey>());
        ++this->board.config.revision.number;
        auto &placements = this->board.config.placements;
        const auto twoHoursAgo = this->board.now.wall - 2h;
        placements.merge({ { this->board.config.revision,
                             twoHoursAgo,
                             activeZones(*this->board.config.table),
                             {} } },
                         this->board.now.wall);
        placements.markAgreed(twoHoursAgo);
        this->run(Tick {});
    }

    /// Begins a tenure of the cell, dated `age` before now.
    auto beginTenure(Duration age) -> void
    {
        this->board.tenure.begin(this->cell, { this->board.now.wall - age, this->former });
    }

    /// Begins a tenure dated one hour ago, and puts the table in force.
    auto start() -> void
    {
        this->beginTenure(1h);
        this->publish();
    }

    /// Handles one event, settles until no exchange is left to place or admit, and processes the
    /// resulting actions.
    auto run(const Event &event) -> void
    {
        this->upstreamController.handle(this->board, event);
        this->outcomeController.handle(this->board, event);
        this->keyController.handle(this->board, event);
        this->admissionController.handle(this->board, event);
        while (true) {
            const auto handedBack = std::exchange(this->board.toPlace, {});
            this->placed.insert(this->placed.end(), handedBack.begin(), handedBack.end());
            this->keyController.settle(this->board);
            this->admissionController.settle(this->board);
            if (this->board.toPlace.empty() && this->board.toAdmit.empty()) {
                break;
            }
        }
        for (const auto &action : std::exchange(this->board.outbox, {})) {
            this->handleAction(action);
        }
    }

    /// Advances the clock by `time`, with ticks and the scheduled calls that become due.
    auto pass(Duration time) -> void
    {
        const auto end = this->board.now.mono + time;
        while (true) {
            const auto tick = this->lastTick + config::tickPeriod;
            const auto due =
                    this->scheduled.empty() ? tick : std::min(tick, this->scheduled.begin()->first);
            if (due > end) {
                this->setTime(end);
                return;
            }
            this->setTime(due);
            if (due == tick) {
                this->lastTick = due;
                this->run(Tick {});
                continue;
            }
            const auto call = this->scheduled.begin()->second;
            this->scheduled.erase(this->scheduled.begin());
            call();
        }
    }

    /// Schedules `call` to run after `time`.
    auto after(Duration time, std::function<void()> call) -> void
    {
        this->scheduled.emplace(this->board.now.mono + time, std::move(call));
    }

    /// Adds a request of `row` and passes it to admission. @returns its exchange.
    auto arrive(const Row &row, const std::string &key = {}, Origin origin = Origin::Caller)
            -> ExchangeId
    {
        const auto id = this->add(row, key, origin);
        this->board.toAdmit.push_back(id);
        this->run(CallerLeft {});
        return id;
    }

    /// Adds a request of `row` without passing it to admission. @returns its exchange.
    auto add(const Row &row, const std::string &key = {}, Origin origin = Origin::Caller)
            -> ExchangeId
    {
        Exchange exchange;
        exchange.id = ExchangeId(++this->lastExchange);
        exchange.origin = origin;
        exchange.row = row.id;
        exchange.service = this->service;
        exchange.cell = this->cell;
        exchange.idempotent = row.idempotent;
        exchange.key = key;
        exchange.keyCreated = keyCreationTime(key);
        exchange.arrived = this->board.now.mono;
        exchange.deadline = this->board.now.mono + row.deadline;
        exchange.attempt = 1;
        return this->board.exchanges.add(exchange).id;
    }

    /// Reports progress of the dispatch of `exchange` to the controllers.
    auto report(ExchangeId exchange, Progress progress, const std::string &whole = {},
                std::optional<AnswerHead> head = {}) -> void
    {
        ExchangeProgress event { exchange, this->sent.at(exchange).attempt, progress, head, {} };
        if (!whole.empty()) {
            event.whole = std::make_shared<const std::string>(whole);
        }
        if (progress != Progress::Answering) {
            --this->running[this->sent.at(exchange).upstream];
        }
        this->run(event);
    }

    /// Reports the head of an answer to `exchange`.
    auto head(ExchangeId exchange, int status, bool shed = false, Duration retryAfter = 0s) -> void
    {
        AnswerHead head;
        head.status = status;
        head.shed = shed;
        head.retryAfter = retryAfter;
        this->report(exchange, Progress::Answering, {}, head);
    }

    auto answer(ExchangeId exchange, const std::string &whole = {}) -> void
    {
        this->head(exchange, 200);
        this->report(exchange, Progress::Answered, whole);
    }

    /// Makes upstreams answer each later dispatch `time` after it.
    auto serveIn(Duration time) -> void
    {
        this->onDispatch = [this, time](const Dispatch &dispatch) {
            const auto id = dispatch.exchange;
            this->after(time, [this, id] { this->answer(id); });
        };
    }

    /// Returns a UUIDv7 whose timestamp is `age` before now.
    auto keyBorn(Duration age) -> std::string
    {
        return makeUuidV7(this->board.random, this->board.now.wall - age);
    }

    auto isSent(ExchangeId exchange) const -> bool { return this->sent.count(exchange) > 0; }
    auto isRefused(ExchangeId exchange, RefusalReason reason, Verdict verdict) const -> bool
    {
        const auto found = this->refused.find(exchange);
        return found != this->refused.end() && found->second.reason == reason
               && found->second.verdict == verdict;
    }

private:
    auto setTime(MonoTime time) -> void
    {
        this->board.now.wall += time - this->board.now.mono;
        this->board.now.mono = time;
    }

    auto handleAction(const Action &action) -> void
    {
        if (const auto *refuse = std::get_if<Refuse>(&action)) {
            this->refused[refuse->exchange] = refuse->refusal;
        } else if (const auto *replay = std::get_if<ReplayAnswer>(&action)) {
            this->replayed[replay->exchange] = replay->whole;
        } else if (const auto *probe = std::get_if<ProbeUpstream>(&action)) {
            this->probes.push_back(*probe);
        } else if (const auto *message = std::get_if<SendPeer>(&action)) {
            this->messages.push_back(*message);
        } else if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            this->recordDispatch(*dispatch);
        }
    }

    auto recordDispatch(const Dispatch &dispatch) -> void
    {
        this->sent[dispatch.exchange] = dispatch;
        this->order.push_back(dispatch.exchange);
        ++this->dispatched[dispatch.upstream];
        auto &count = this->running[dispatch.upstream];
        ++count;
        this->most[dispatch.upstream] = std::max(this->most[dispatch.upstream], count);
        if (this->onDispatch) {
            this->onDispatch(dispatch);
        }
    }

    UpstreamController upstreamController;
    OutcomeController outcomeController;
    KeyController keyController;
    AdmissionController admissionController;
    std::multimap<MonoTime, std::function<void()>> scheduled;
    MonoTime lastTick { 1000s };
    std::uint64_t lastExchange = 0;
};

} // namespace flamingograde
