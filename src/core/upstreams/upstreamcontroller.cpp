/// Tracks the health of upstreams from traffic and probes.
#include "core/upstreams/upstreamcontroller.h"

#include "core/blackboard.h"
#include "core/overloaded.h"
#include "core/requests/answermeaning.h"

#include <algorithm>
#include <string>
#include <unordered_set>
#include <variant>

namespace flamingograde {

namespace {

constexpr auto serverErrorMin = 500;
constexpr auto shedDivisor = 2.0; ///< Divides the slot limit of an upstream that sheds.

/// Returns the share of a cell's upstreams that are ejected if one more is.
auto ejectedShareWithOneMore(const Blackboard &board, CellId cell) -> double
{
    const auto &indices = board.table().upstreamsOf(cell);
    auto ejected = 1.0;
    for (const auto index : indices) {
        const auto id = board.table().upstreams()[index].id;
        ejected += board.upstreams.isUsable(id, board.now.mono) ? 0.0 : 1.0;
    }
    return ejected / std::max<double>(static_cast<double>(indices.size()), 1.0);
}

auto ejectionTime(std::uint32_t ejections) -> Duration
{
    Duration time = config::ejectTime;
    for (std::uint32_t i = 0; i < ejections && time < config::ejectTimeMax; ++i) {
        time *= 2;
    }
    return std::min<Duration>(time, config::ejectTimeMax);
}

auto eject(Blackboard &board, const Upstream &upstream, UpstreamHealth &health) -> void
{
    health.ejected = true;
    health.ejectedUntil = board.now.mono + ejectionTime(health.ejections);
    health.failures = 0;
    ++health.ejections;
    ++board.stats.ejections;
    board.log(LogEvent::UpstreamEjected, "upstream=" + upstream.name);
}

auto noteFailure(Blackboard &board, UpstreamId id) -> void
{
    const auto *upstream = board.table().upstream(id);
    if (upstream == nullptr) {
        return;
    }
    auto &health = board.upstreams.health(id);
    ++health.failures;
    const auto isReadmitted = health.ejections > 0 && health.rampSince.has_value();
    const auto failuresToEject = isReadmitted ? std::size_t { 1 } : config::ejectFailures;
    if (health.failures < failuresToEject || health.ejected) {
        return;
    }
    if (ejectedShareWithOneMore(board, upstream->cell()) <= config::ejectShareMax) {
        eject(board, *upstream, health);
    }
}

auto noteSuccess(Blackboard &board, UpstreamId id) -> void
{
    const auto *upstream = board.table().upstream(id);
    if (upstream == nullptr) {
        return;
    }
    auto &health = board.upstreams.health(id);
    health.failures = 0;
    health.lastSuccess = board.now.mono;
    if (!health.rampSince.has_value()) {
        health.ejections = 0;
    }
    if (health.slotLimit.has_value()) {
        *health.slotLimit += config::shedRecovery / *health.slotLimit;
        if (*health.slotLimit >= upstream->slots) {
            health.slotLimit.reset();
        }
    }
}

auto noteShed(Blackboard &board, UpstreamId id, Duration retryAfter) -> void
{
    const auto *upstream = board.table().upstream(id);
    if (upstream == nullptr) {
        return;
    }
    auto &health = board.upstreams.health(id);
    const auto limit = health.slotLimit.value_or(upstream->slots);
    health.slotLimit = std::max(limit / shedDivisor, 1.0);
    health.pausedUntil = board.now.mono + std::min<Duration>(retryAfter, config::retryAfterMax);
    board.log(LogEvent::UpstreamShed, "upstream=" + upstream->name);
}

/// Evaluates the head of a request's answer.
auto noteHead(Blackboard &board, RunningRequest &request, const AnswerHead &head) -> void
{
    request.notRun = isNotRunResponse(head);
    if (head.shed) {
        noteShed(board, request.upstream, head.retryAfter);
        return;
    }
    const auto isFault = head.status >= serverErrorMin && !isDeadlineResponse(head);
    if (request.notRun || isFault) {
        request.failed = true;
        noteFailure(board, request.upstream);
    }
}

auto noteRequestProgress(Blackboard &board, RunningRequest &request, const ExchangeProgress &event)
        -> void
{
    switch (event.progress) {
    case Progress::Answering:
        if (event.head.has_value()) {
            noteHead(board, request, *event.head);
        }
        return;
    case Progress::Answered:
        request.answered = true;
        if (!request.failed && !request.notRun) {
            noteSuccess(board, request.upstream);
        }
        return;
    case Progress::NotSent:
    case Progress::Lost:
    case Progress::Cut:
        request.notSent = event.progress == Progress::NotSent;
        if (!request.failed) {
            request.failed = true;
            noteFailure(board, request.upstream);
        }
        return;
    }
}

/// Counts the opening of a feed as a success or a failure of its upstream.
auto noteFeedProgress(Blackboard &board, const Feed &feed, const ExchangeProgress &event) -> void
{
    if (event.progress == Progress::NotSent || event.progress == Progress::Lost) {
        noteFailure(board, feed.upstream);
    }
    if (event.progress == Progress::Answering && event.head.has_value() && !event.head->shed
        && event.head->status < serverErrorMin) {
        noteSuccess(board, feed.upstream);
    }
}

/// Counts a failure for the upstream of each request whose deadline passed without an answer.
auto recordTimeouts(Blackboard &board) -> void
{
    for (const auto id : board.exchanges.expired(board.now.mono)) {
        auto *request = board.cells.findRunning(id);
        if (request != nullptr && !request->failed) {
            request->failed = true;
            noteFailure(board, request->upstream);
        }
    }
}

/// Ends an ejection or a ramp whose time has passed.
auto endEjectionAndRamp(Blackboard &board, const Upstream &upstream, UpstreamHealth &health) -> void
{
    if (health.ejected && health.ejectedUntil <= board.now.mono) {
        health.ejected = false;
        health.rampSince = board.now.mono;
        board.log(LogEvent::UpstreamReturned, "upstream=" + upstream.name);
    }
    if (health.rampSince.has_value() && board.now.mono - *health.rampSince >= config::rampTime) {
        health.rampSince.reset();
    }
}

/// Sends the probes that are due for upstreams of the cells that this host is home of.
auto probeDueUpstreams(Blackboard &board) -> void
{
    for (const auto &[cell, tenure] : board.tenure.all()) {
        for (const auto index : board.table().upstreamsOf(cell)) {
            const auto &upstream = board.table().upstreams()[index];
            auto &health = board.upstreams.health(upstream.id);
            if (health.nextProbe <= board.now.mono) {
                health.nextProbe = board.now.mono + config::upstreamProbePeriod;
                board.addAction(
                        ProbeUpstream { upstream.id, upstream.address, upstream.serviceName });
            }
        }
    }
}

auto logIfDrained(Blackboard &board, const Upstream &upstream, UpstreamHealth &health) -> void
{
    if (upstream.state != UpstreamState::Draining || health.drainLogged) {
        return;
    }
    const auto busy = board.cells.runningAt(upstream.cell(), upstream.id) > 0
                      || board.feeds.countAt(upstream.id) > 0;
    if (!busy) {
        health.drainLogged = true;
        board.log(LogEvent::UpstreamDrained, "upstream=" + upstream.name);
    }
}

/// Updates the health of one upstream from the table. An upstream becomes cold if it is new, has a
/// new address, or is active again after draining.
/// @param first whether this is the first table, whose upstreams count as warm.
auto syncUpstream(Blackboard &board, const Upstream &upstream, bool first) -> void
{
    const auto known = board.upstreams.find(upstream.id) != nullptr;
    auto &health = board.upstreams.health(upstream.id);
    const auto moved = known && health.address != upstream.address;
    const auto returned = known && health.state == UpstreamState::Draining
                          && upstream.state == UpstreamState::Active;
    if (moved) {
        health = UpstreamHealth {};
    }
    if (!first && (!known || moved || returned)) {
        health.rampSince = board.now.mono;
        health.drainLogged = false;
    }
    health.address = upstream.address;
    health.state = upstream.state;
}

} // namespace

auto UpstreamController::handle(Blackboard &board, const Event &event) -> void
{
    this->syncWithTable(board);
    recordTimeouts(board);
    std::visit(Overloaded {
                       [&](const ExchangeProgress &progress) { this->onProgress(board, progress); },
                       [&](const UpstreamReport &report) { this->onReport(board, report); },
                       [&](const Tick &) { this->onTick(board); },
                       [](const auto &) {},
               },
               event);
}

auto UpstreamController::syncWithTable(Blackboard &board) -> void
{
    const auto revision = board.config.revision;
    if (revision == board.upstreams.revision) {
        return;
    }
    const auto first = !board.upstreams.revision.isValid();
    board.upstreams.revision = revision;
    std::unordered_set<UpstreamId> listed;
    for (const auto &upstream : board.table().upstreams()) {
        syncUpstream(board, upstream, first);
        listed.insert(upstream.id);
    }
    auto &all = board.upstreams.all();
    for (auto entry = all.begin(); entry != all.end();) {
        entry = listed.count(entry->first) > 0 ? std::next(entry) : all.erase(entry);
    }
}

auto UpstreamController::onProgress(Blackboard &board, const ExchangeProgress &event) -> void
{
    auto *request = board.cells.findRunning(event.exchange);
    if (request != nullptr && request->attempt == event.attempt) {
        noteRequestProgress(board, *request, event);
        return;
    }
    const auto *feed = board.feeds.find(event.exchange);
    if (feed != nullptr && feed->attempt == event.attempt) {
        noteFeedProgress(board, *feed, event);
    }
}

auto UpstreamController::onReport(Blackboard &board, const UpstreamReport &report) -> void
{
    if (board.table().upstream(report.upstream) == nullptr) {
        return;
    }
    auto &health = board.upstreams.health(report.upstream);
    health.load = report.load;
    health.saysDraining = report.reachable && report.draining;
    if (report.reachable && (report.healthy || report.draining)) {
        health.failingProbesSince.reset();
        return;
    }
    const auto succeededRecently =
            health.lastSuccess.has_value()
            && board.now.mono - *health.lastSuccess < 2 * config::upstreamProbePeriod;
    if (!health.failingProbesSince.has_value() && !succeededRecently) {
        health.failingProbesSince = board.now.mono;
    }
}

auto UpstreamController::onTick(Blackboard &board) -> void
{
    for (const auto &upstream : board.table().upstreams()) {
        auto &health = board.upstreams.health(upstream.id);
        endEjectionAndRamp(board, upstream, health);
        logIfDrained(board, upstream, health);
    }
    probeDueUpstreams(board);
}

} // namespace flamingograde
