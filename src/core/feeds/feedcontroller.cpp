/// Opens, reopens and ends feeds.
#include "core/feeds/feedcontroller.h"

#include "core/blackboard.h"
#include "core/feeds/feedplacement.h"
#include "core/overloaded.h"
#include "core/requests/answermeaning.h"
#include "core/requests/refuse.h"
#include "core/requests/token.h"

#include <algorithm>

namespace flamingograde {

namespace {

constexpr Duration noRetryAfter { 0 };
constexpr int statusOk = 200;
constexpr int firstServerError = 500;
constexpr std::uint32_t backoffDoublings = 5;

/// Returns the delay before the next opening after `failures` consecutive failed openings.
auto backoff(std::uint32_t failures) -> Duration
{
    const auto doublings = std::min(failures, backoffDoublings);
    return std::min<Duration>(config::feedRetryMin * (1U << doublings), config::feedRetryMax);
}

/// Tells the transport to end a feed between two events of its stream. The transport reports the
/// end with `Progress::Answered`. Does nothing if the feed is already ending.
auto endFeed(Blackboard &board, ExchangeId id, Feed &feed) -> void
{
    if (feed.stage == FeedStage::Ending) {
        return;
    }
    feed.stage = FeedStage::Ending;
    ++board.stats.feedsEnded;
    board.addAction(EndFeed { id });
}

/// Ends the feed if its response head was forwarded to the caller; otherwise refuses it with
/// `reason`. A stale token gets no Retry-After, because a retry with the same token fails
/// again.
auto endOrRefuse(Blackboard &board, ExchangeId id, Feed &feed, RefusalReason reason) -> void
{
    if (feed.headForwarded) {
        return endFeed(board, id, feed);
    }
    const auto retryAfter =
            reason == RefusalReason::StaleToken ? noRetryAfter : config::retryAfterMin;
    refuseNotRun(board, id, reason, retryAfter);
}

/// Sends a feed to its upstream. Precondition: the upstream is in the table.
/// A feed whose head was already forwarded is sent as a reopening.
auto sendToUpstream(Blackboard &board, ExchangeId id, Feed &feed, const Row &row,
                    const Upstream &upstream) -> void
{
    ++feed.attempt;
    feed.stage = FeedStage::Opening;
    if (feed.headForwarded) {
        ++board.stats.feedsReopened;
        board.log(LogEvent::FeedReopened, "upstream=" + upstream.name);
    }
    OpenFeed action;
    action.exchange = id;
    action.attempt = feed.attempt;
    action.upstream = upstream.id;
    action.address = upstream.address;
    action.service = upstream.serviceName;
    action.rowName = row.name;
    action.reopen = feed.headForwarded;
    board.addAction(std::move(action));
}

/// Returns whether a feed must stay at its upstream, because its caller has received events from
/// there: in this stream, or in the earlier one that set its token.
auto isBoundToUpstream(const Feed &feed) -> bool
{
    return feed.headForwarded || feed.upstreamFromToken;
}

auto openFeed(Blackboard &board, ExchangeId id, Feed &feed) -> void
{
    const auto &table = board.table();
    const auto *row = table.row(feed.row);
    if (row == nullptr) {
        return endOrRefuse(board, id, feed, RefusalReason::UnknownService);
    }
    if (!isBoundToUpstream(feed)) {
        const auto chosen = upstreamForFlow(board, row->service, feed.flow, feed.failures);
        board.feeds.moveTo(feed, chosen);
        if (!chosen.isValid()) {
            return refuseNotRun(board, id, RefusalReason::NoUpstream, config::retryAfterMin);
        }
    }
    const auto *upstream = table.upstream(feed.upstream);
    if (upstream == nullptr || upstream->service != row->service) {
        return endOrRefuse(board, id, feed, RefusalReason::StaleToken);
    }
    if (board.config.isQuarantined(feed.upstream, board.now.mono)) {
        return endOrRefuse(board, id, feed, RefusalReason::NoUpstream);
    }
    if (feed.upstreamFromToken && !feed.headForwarded
        && board.feeds.countAt(feed.upstream) > upstream->connections) {
        return refuseNotRun(board, id, RefusalReason::NoUpstream, config::retryAfterMin);
    }
    sendToUpstream(board, id, feed, *row, *upstream);
}

/// Returns the refusal reason for a feed whose opening attempts are used up: `StaleToken` for a
/// draining upstream, which does not return, so that the caller starts a new flow; else
/// `NoUpstream`.
auto retriesExhaustedReason(const Blackboard &board, const Feed &feed) -> RefusalReason
{
    const auto *upstream = board.table().upstream(feed.upstream);
    const auto isDraining = upstream != nullptr && upstream->state == UpstreamState::Draining;
    return isDraining ? RefusalReason::StaleToken : RefusalReason::NoUpstream;
}

/// Retries a feed after a failed opening or a lost connection. A feed bound to its upstream is
/// reopened there after a backoff; any other feed is opened at the next preferred upstream at once.
/// Ends or refuses the feed if its attempts are used up.
auto retryOpening(Blackboard &board, ExchangeId id, Feed &feed) -> void
{
    ++feed.failures;
    const auto maxFailures =
            feed.headForwarded ? config::feedReopenAttempts : config::feedOpenAttempts;
    if (feed.failures > maxFailures) {
        return endOrRefuse(board, id, feed, retriesExhaustedReason(board, feed));
    }
    if (isBoundToUpstream(feed)) {
        return board.feeds.wait(id, feed, board.now.mono + backoff(feed.failures - 1));
    }
    openFeed(board, id, feed);
}

/// Returns whether a response head means that the upstream did not accept the feed. A new feed is
/// refused by a 5xx status or a response that says that it was not run; other statuses are
/// forwarded to the caller. A reopened feed accepts only 200.
auto isOpeningRefused(const AnswerHead &head, bool reopening) -> bool
{
    if (reopening) {
        return head.status != statusOk;
    }
    return isNotRunResponse(head) || head.status >= firstServerError;
}

auto tokenFor(const Blackboard &board, const Feed &feed) -> std::string
{
    const auto *key = signingKey(board.table().tokenKeys());
    const auto *upstream = board.table().upstream(feed.upstream);
    if (key == nullptr || upstream == nullptr) {
        return {};
    }
    return signToken({ upstream->service, feed.upstream, feed.flow }, *key);
}

auto onHead(Blackboard &board, ExchangeId id, Feed &feed, const AnswerHead &head) -> void
{
    if (feed.stage != FeedStage::Opening) {
        return;
    }
    if (isOpeningRefused(head, feed.headForwarded)) {
        board.addAction(Cancel { id });
        return retryOpening(board, id, feed);
    }
    feed.stage = FeedStage::Open;
    feed.failures = 0;
    if (!feed.headForwarded) {
        feed.headForwarded = true;
        board.addAction(PassAnswer { id, tokenFor(board, feed) });
    }
}

auto onProgress(Blackboard &board, const ExchangeProgress &report) -> void
{
    auto *feed = board.feeds.find(report.exchange);
    if (feed == nullptr || feed->attempt != report.attempt) {
        return;
    }
    switch (report.progress) {
    case Progress::Answering:
        return onHead(board, report.exchange, *feed, report.head.value_or(AnswerHead {}));
    case Progress::Answered:
        return board.feeds.erase(report.exchange);
    case Progress::NotSent:
    case Progress::Lost:
    case Progress::Cut:
        break;
    }
    if (feed->stage == FeedStage::Ending) {
        return board.feeds.erase(report.exchange);
    }
    if (feed->stage != FeedStage::Waiting) {
        retryOpening(board, report.exchange, *feed);
    }
}

auto onCallerLeft(Blackboard &board, ExchangeId id) -> void
{
    const auto *feed = board.feeds.find(id);
    if (feed == nullptr) {
        return;
    }
    if (feed->stage == FeedStage::Opening || feed->stage == FeedStage::Open) {
        board.addAction(Cancel { id });
    }
    board.feeds.erase(id);
}

/// Opens the waiting feeds whose retry time has come.
auto openDueFeeds(Blackboard &board) -> void
{
    for (const auto id : board.feeds.takeDue(board.now.mono)) {
        if (auto *feed = board.feeds.find(id)) {
            openFeed(board, id, *feed);
        }
    }
}

/// Ends or refuses the feeds whose upstream is no longer in the table.
auto endFeedsOfRemovedUpstreams(Blackboard &board) -> void
{
    std::vector<ExchangeId> affected;
    for (const auto &[id, feed] : board.feeds.all()) {
        if (board.table().upstream(feed.upstream) == nullptr) {
            affected.push_back(id);
        }
    }
    for (const auto id : affected) {
        endOrRefuse(board, id, *board.feeds.find(id), RefusalReason::StaleToken);
    }
}

/// Returns how many of `remaining` feeds a stop ends at this tick. The feeds are spread evenly over
/// the ticks left, so that all are ended within `config::feedMoveTime`.
auto feedsToEndThisTick(const Blackboard &board, std::size_t remaining) -> std::size_t
{
    const auto end = board.stop.since + config::stopNoticeTime + config::feedMoveTime;
    const auto ticks =
            std::max<Duration::rep>((end - board.now.mono) / Duration(config::tickPeriod), 1);
    return (remaining + static_cast<std::size_t>(ticks) - 1) / static_cast<std::size_t>(ticks);
}

/// Ends the share of feeds due at this tick. Called once this host accepts no new feeds.
auto endFeedsForStop(Blackboard &board) -> void
{
    std::vector<ExchangeId> remaining;
    for (const auto &[id, feed] : board.feeds.all()) {
        if (feed.stage != FeedStage::Ending) {
            remaining.push_back(id);
        }
    }
    remaining.resize(std::min(remaining.size(), feedsToEndThisTick(board, remaining.size())));
    for (const auto id : remaining) {
        board.log(LogEvent::FeedMoved, "why=stop");
        endOrRefuse(board, id, *board.feeds.find(id), RefusalReason::Stopping);
    }
}

} // namespace

auto FeedController::handle(Blackboard &board, const Event &event) -> void
{
    std::visit(Overloaded {
                       [&](const ExchangeProgress &report) { onProgress(board, report); },
                       [&](const CallerLeft &left) { onCallerLeft(board, left.exchange); },
                       [&](const Tick &) {
                           if (board.stop.listenersClosed) {
                               endFeedsForStop(board);
                           }
                       },
                       [](const auto &) {},
               },
               event);
    for (const auto id : std::exchange(board.toOpen, {})) {
        if (auto *feed = board.feeds.find(id)) {
            openFeed(board, id, *feed);
        }
    }
    openDueFeeds(board);
    if (this->checkedRevision != board.config.revision) {
        this->checkedRevision = board.config.revision;
        endFeedsOfRemovedUpstreams(board);
    }
}

} // namespace flamingograde
