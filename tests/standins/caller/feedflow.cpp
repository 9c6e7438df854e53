#include "standins/caller/feedflow.h"

#include "standins/caller/callrequest.h"
#include "standins/caller/feedcounts.h"
#include "standins/caller/loadoptions.h"
#include "standins/common/endpoint.h"

#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace standins {

namespace http = boost::beast::http;

namespace {

using Clock = std::chrono::steady_clock;

/// Pause after the first failure; doubled after each consecutive one.
constexpr auto initialBackOff = std::chrono::milliseconds(20);
constexpr unsigned maxBackOffDoublings = 6; ///< Limit of the pause.
constexpr double defaultRetryAfterS = 1;    ///< Used if a refusal has no `Retry-After`.

auto toNanoseconds(double seconds) -> std::chrono::nanoseconds
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(seconds));
}

} // namespace

FeedFlow::FeedFlow(asio::io_context &loop, LoadOptions &options, FeedCounts &counts,
                   std::string path, std::function<void()> onOpened)
    : socket(loop), timer(loop), options(options), counts(counts), path(std::move(path)),
      onOpened(std::move(onOpened))
{}

auto FeedFlow::open() -> void
{
    if (this->stopped) {
        return;
    }
    ++this->connectionNumber;
    this->buffer.clear();
    this->eventParser.clear();
    this->lastReceived = Clock::now();
    this->socket = Tcp::socket(this->socket.get_executor());
    ErrorCode error;
    if (this->options.source) {
        bindSource(this->socket, *this->options.source, error);
    }
    if (error) {
        this->handleOpenFailure();
        return;
    }
    this->socket.async_connect(
            parseEndpoint(this->options.address),
            [self = this->shared_from_this(), number = this->connectionNumber](ErrorCode failed) {
                if (number != self->connectionNumber) {
                    return;
                }
                if (failed) {
                    self->handleOpenFailure();
                    return;
                }
                self->sendRequest();
            });
}

auto FeedFlow::stop() -> void
{
    this->stopped = true;
    ++this->connectionNumber;
    this->timer.cancel();
    this->closeConnection();
}

auto FeedFlow::checkSilence(TimePoint cutoff) -> void
{
    if (this->stopped || !this->socket.is_open() || this->lastReceived > cutoff) {
        return;
    }
    if (!this->isOpen) {
        this->handleOpenFailure();
        return;
    }
    ++this->counts.silent;
    this->closeConnection();
    this->open();
}

auto FeedFlow::sendRequest() -> void
{
    CallRequest call;
    call.path = this->path;
    call.host = this->options.host;
    call.accept = "text/event-stream";
    call.token = this->token;
    call.lastEventId = this->lastId ? std::to_string(*this->lastId) : "";
    this->request = call.toBytes();
    asio::async_write(this->socket, asio::buffer(this->request),
                      [self = this->shared_from_this()](ErrorCode, std::size_t) {});
    this->readResponseHead();
}

auto FeedFlow::readResponseHead() -> void
{
    this->parser.emplace();
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(this->socket, this->buffer, *this->parser,
                            [self = this->shared_from_this(),
                             number = this->connectionNumber](ErrorCode error, std::size_t) {
                                if (number != self->connectionNumber) {
                                    return;
                                }
                                if (error) {
                                    self->handleOpenFailure();
                                    return;
                                }
                                self->handleResponseHead();
                            });
}

auto FeedFlow::handleResponseHead() -> void
{
    const AnswerHead head = AnswerHead::fromResponse(this->parser->get());
    if (!head.isOk()) {
        this->handleRefusal(head);
        return;
    }
    if (!head.token.empty()) {
        this->token = head.token;
    }
    this->consecutiveFailures = 0;
    this->isOpen = true;
    ++this->counts.openings;
    ++this->counts.open;
    if (!this->upstream.empty()) {
        ++this->counts.byUpstream[this->upstream];
    }
    if (!this->openedBefore) {
        this->openedBefore = true;
        ++this->counts.opened;
    }
    if (this->interruptedAt) {
        const std::chrono::duration<double, std::milli> gap = Clock::now() - *this->interruptedAt;
        this->counts.gapMs.add(gap.count());
        this->interruptedAt.reset();
    }
    this->onOpened();
    this->readEvents();
}

auto FeedFlow::handleRefusal(const AnswerHead &head) -> void
{
    const std::string reason =
            head.reason.empty() ? "http-" + std::to_string(head.status) : head.reason;
    ++this->counts.refused[reason][toString(head.verdict)];
    ErrorCode ignored;
    this->socket.close(ignored);
    if (reason == "stale-token" || reason == "bad-token") {
        ++this->counts.restarted;
        this->token.clear();
        this->lastId.reset();
        this->scheduleReopen(initialBackOff);
        return;
    }
    this->scheduleReopen(toNanoseconds(head.retryAfterS.value_or(defaultRetryAfterS)));
}

auto FeedFlow::readEvents() -> void
{
    http::async_read_some(this->socket, this->buffer, *this->parser,
                          [self = this->shared_from_this(),
                           number = this->connectionNumber](ErrorCode error, std::size_t) {
                              if (number != self->connectionNumber) {
                                  return;
                              }
                              self->handleBodyBytes();
                              if (self->parser->is_done()) {
                                  ++self->counts.moved;
                                  self->counts.cutEvents +=
                                          self->eventParser.hasPartialEvent() ? 1 : 0;
                                  self->closeConnection();
                                  self->open();
                                  return;
                              }
                              if (error) {
                                  ++self->counts.brokenFlows;
                                  self->closeConnection();
                                  self->open();
                                  return;
                              }
                              self->readEvents();
                          });
}

auto FeedFlow::handleBodyBytes() -> void
{
    std::string &body = this->parser->get().body();
    this->lastReceived = Clock::now();
    for (const FeedEvent &event : this->eventParser.append(body)) {
        this->handleEvent(event);
    }
    body.clear();
}

auto FeedFlow::handleEvent(const FeedEvent &event) -> void
{
    ++this->counts.events;
    const std::string previousUpstream = this->upstream;
    this->checkOrigin(event.data);
    if (previousUpstream == this->upstream && this->lastId) {
        if (event.id <= *this->lastId) {
            ++this->counts.repeatedEvents;
            return;
        }
        this->counts.lostEvents += event.id - *this->lastId - 1;
    }
    this->lastId = event.id;
}

/// Counts the event as misdelivered if it comes from another service, and records a change of the
/// upstream.
auto FeedFlow::checkOrigin(const std::string &data) -> void
{
    const Json origin = Json::parse(data, nullptr, false);
    if (!origin.is_object()) {
        ++this->counts.misdelivered;
        return;
    }
    const std::string service = origin.value("service", "");
    if (this->options.service.empty()) {
        this->options.service = service;
    }
    this->counts.misdelivered += service == this->options.service ? 0 : 1;
    const std::string upstream = origin.value("upstream", "");
    if (upstream == this->upstream) {
        return;
    }
    if (!this->upstream.empty()) {
        ++this->counts.upstreamChanges;
        --this->counts.byUpstream[this->upstream];
    }
    ++this->counts.byUpstream[upstream];
    this->upstream = upstream;
}

auto FeedFlow::handleOpenFailure() -> void
{
    ++this->counts.openFailures;
    ErrorCode ignored;
    this->socket.close(ignored);
    const unsigned doublings = std::min(this->consecutiveFailures, maxBackOffDoublings);
    ++this->consecutiveFailures;
    this->scheduleReopen(initialBackOff * (1U << doublings));
}

auto FeedFlow::closeConnection() -> void
{
    ErrorCode ignored;
    this->socket.close(ignored);
    if (!this->isOpen) {
        return;
    }
    this->isOpen = false;
    this->interruptedAt = Clock::now();
    --this->counts.open;
    if (!this->upstream.empty()) {
        --this->counts.byUpstream[this->upstream];
    }
}

auto FeedFlow::scheduleReopen(std::chrono::nanoseconds pause) -> void
{
    ++this->connectionNumber;
    this->timer.expires_after(pause);
    this->timer.async_wait([self = this->shared_from_this()](ErrorCode error) {
        if (!error) {
            self->open();
        }
    });
}

} // namespace standins
