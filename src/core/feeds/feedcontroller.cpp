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

constexpr Duration noRetry { 0 };
constexpr int statusOk = 200;
constexpr int firstServerError = 500;
constexpr std::uint32_t backoffDoublings = 5;

/// Returns the pause before the next opening after `failures` failed ones.
auto backoff(std::uint32_t failures) -> Duration
{
    const auto doublings = std::min(failures, backoffDoublings);
    return std::min<Duration>(config::feedRetryMin * (1U << doublings), config::feedRetryMax);
}

/// Has the transport end a feed at an event's boundary; it reports the end with `Answered`.
auto endFeed(Blackboard &board, ExchangeId id, Feed &feed) -> void
{
    if (feed.stage == FeedStage::Ending) {
        return;
    }
    feed.stage = FeedStage::Ending;
    ++board.stats.feedsEnded;
    board.act(EndFeed { id });
}

/// Ends a feed whose caller has the head, refuses another.
auto endOrRefuse(Blackboard &board, ExchangeId id, Feed &feed, RefusalReason reason) -> void
{
    if (feed.headPassed) {
        return endFeed(board, id, feed);
    }
    const auto retryAfter = reason == RefusalReason::StaleToken ? noRetry : config::retryAfterMin;
    refuseUnrun(board, id, reason, retryAfter);
}

/// Sends a feed to its upstream. Precondition: the upstream is in the table.
auto openAt(Blackboard &board, ExchangeId id, Feed &feed, const Row &row, const Upstream &upstream)
        -> void
{
    ++feed.attempt;
    feed.stage = FeedStage::Opening;
    if (feed.headPassed) {
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
    action.reopen = feed.headPassed;
    board.act(std::move(action));
}

/// Returns whether a feed keeps its upstream whatever happens: its caller has events of it.
auto isEstablished(const Feed &feed) -> bool
{
    return feed.headPassed || feed.fromToken;
}

auto open(Blackboard &board, ExchangeId id, Feed &feed) -> void
{
    const auto &table = board.table();
    const auto *row = table.row(feed.row);
    if (row == nullptr) {
        return endOrRefuse(board, id, feed, RefusalReason::UnknownService);
    }
    if (!isEstablished(feed)) {
        const auto chosen = upstreamForFlow(board, row->service, feed.flow, feed.failures);
        board.feeds.moveTo(feed, chosen);
        if (!chosen.isValid()) {
            return refuseUnrun(board, id, RefusalReason::NoUpstream, config::retryAfterMin);
        }
    }
    const auto *upstream = table.upstream(feed.upstream);
    if (upstream == nullptr || upstream->service != row->service) {
        return endOrRefuse(board, id, feed, RefusalReason::StaleToken);
    }
    if (board.config.isQuarantined(feed.upstream, board.now.mono)) {
        return endOrRefuse(board, id, feed, RefusalReason::NoUpstream);
    }
    if (feed.fromToken && !feed.headPassed
        && board.feeds.countAt(feed.upstream) > upstream->connections) {
        return refuseUnrun(board, id, RefusalReason::NoUpstream, config::retryAfterMin);
    }
    openAt(board, id, feed, *row, *upstream);
}

/// Returns why a feed that cannot be opened is refused: a draining upstream does not come back, so
/// its flow has to start anew.
auto giveUpReason(const Blackboard &board, const Feed &feed) -> RefusalReason
{
    const auto *upstream = board.table().upstream(feed.upstream);
    const auto drains = upstream != nullptr && upstream->state == UpstreamState::Draining;
    return drains ? RefusalReason::StaleToken : RefusalReason::NoUpstream;
}

/// Opens a feed again after a failed opening or a loss: an established one at its upstream after
/// a pause, a new one at the next upstream.
auto openAgain(Blackboard &board, ExchangeId id, Feed &feed) -> void
{
    ++feed.failures;
    const auto most = feed.headPassed ? config::feedReopenAttempts : config::feedOpenAttempts;
    if (feed.failures > most) {
        return endOrRefuse(board, id, feed, giveUpReason(board, feed));
    }
    if (isEstablished(feed)) {
        return board.feeds.wait(id, feed, board.now.mono + backoff(feed.failures - 1));
    }
    open(board, id, feed);
}

/// Returns whether a head means that the upstream has not taken the feed.
auto isRefusedBy(const AnswerHead &head, bool reopening) -> bool
{
    if (reopening) {
        return head.status != statusOk;
    }
    return saysUnrun(head) || head.status >= firstServerError;
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
    if (isRefusedBy(head, feed.headPassed)) {
        board.act(Cancel { id });
        return openAgain(board, id, feed);
    }
    feed.stage = FeedStage::Open;
    feed.failures = 0;
    if (!feed.headPassed) {
        feed.headPassed = true;
        board.act(PassAnswer { id, tokenFor(board, feed) });
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
        openAgain(board, report.exchange, *feed);
    }
}

auto onCallerLeft(Blackboard &board, ExchangeId id) -> void
{
    const auto *feed = board.feeds.find(id);
    if (feed == nullptr) {
        return;
    }
    if (feed->stage == FeedStage::Opening || feed->stage == FeedStage::Open) {
        board.act(Cancel { id });
    }
    board.feeds.erase(id);
}

/// Opens the feeds whose pause has ended.
auto reopenDue(Blackboard &board) -> void
{
    for (const auto id : board.feeds.takeDue(board.now.mono)) {
        if (auto *feed = board.feeds.find(id)) {
            open(board, id, *feed);
        }
    }
}

/// Ends the feeds whose upstream is no longer in the table.
auto endOrphans(Blackboard &board) -> void
{
    std::vector<ExchangeId> orphans;
    for (const auto &[id, feed] : board.feeds.all()) {
        if (board.table().upstream(feed.upstream) == nullptr) {
            orphans.push_back(id);
        }
    }
    for (const auto id : orphans) {
        endOrRefuse(board, id, *board.feeds.find(id), RefusalReason::StaleToken);
    }
}

/// Returns how many feeds a stop ends now, so that all are ended in `config::feedMoveTime`.
auto shareToEnd(const Blackboard &board, std::size_t left) -> std::size_t
{
    const auto end = board.stop.since + config::leaveNotice + config::feedMoveTime;
    const auto ticks =
            std::max<Duration::rep>((end - board.now.mono) / Duration(config::tickPeriod), 1);
    return (left + static_cast<std::size_t>(ticks) - 1) / static_cast<std::size_t>(ticks);
}

/// Ends a share of the feeds once this host takes no new ones.
auto endForStop(Blackboard &board) -> void
{
    std::vector<ExchangeId> left;
    for (const auto &[id, feed] : board.feeds.all()) {
        if (feed.stage != FeedStage::Ending) {
            left.push_back(id);
        }
    }
    left.resize(std::min(left.size(), shareToEnd(board, left.size())));
    for (const auto id : left) {
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
                           if (board.stop.closed) {
                               endForStop(board);
                           }
                       },
                       [](const auto &) {},
               },
               event);
    for (const auto id : std::exchange(board.toOpen, {})) {
        if (auto *feed = board.feeds.find(id)) {
            open(board, id, *feed);
        }
    }
    reopenDue(board);
    if (this->seen != board.config.revision) {
        this->seen = board.config.revision;
        endOrphans(board);
    }
}

} // namespace flamingograde
