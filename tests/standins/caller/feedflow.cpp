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

constexpr auto firstBackOff = std::chrono::milliseconds(20); ///< Doubled by each failure.
constexpr unsigned backOffDoublings = 6;
constexpr double defaultRetryAfterS = 1; ///< After a refusal that names none.

auto nanoseconds(double seconds) -> std::chrono::nanoseconds
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(seconds));
}

} // namespace

FeedFlow::FeedFlow(asio::io_context &loop, LoadOptions &options, FeedCounts &counts,
                   std::string path, std::function<void()> opened)
    : socket(loop), timer(loop), options(options), counts(counts), path(std::move(path)),
      opened(std::move(opened))
{}

auto FeedFlow::open() -> void
{
    if (this->stopped) {
        return;
    }
    ++this->connection;
    this->buffer.clear();
    this->events.clear();
    this->lastBytes = Clock::now();
    this->socket = Tcp::socket(this->socket.get_executor());
    ErrorCode error;
    if (this->options.source) {
        bindSource(this->socket, *this->options.source, error);
    }
    if (error) {
        this->failOpening();
        return;
    }
    this->socket.async_connect(
            parseEndpoint(this->options.address),
            [self = this->shared_from_this(), number = this->connection](ErrorCode failed) {
                if (number != self->connection) {
                    return;
                }
                if (failed) {
                    self->failOpening();
                    return;
                }
                self->write();
            });
}

auto FeedFlow::stop() -> void
{
    this->stopped = true;
    ++this->connection;
    this->timer.cancel();
    this->closeOpen();
}

auto FeedFlow::checkSilence(Time oldest) -> void
{
    if (this->stopped || !this->socket.is_open() || this->lastBytes > oldest) {
        return;
    }
    if (!this->isOpen) {
        this->failOpening();
        return;
    }
    ++this->counts.silent;
    this->closeOpen();
    this->open();
}

auto FeedFlow::write() -> void
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
    this->readHead();
}

auto FeedFlow::readHead() -> void
{
    this->parser.emplace();
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(this->socket, this->buffer, *this->parser,
                            [self = this->shared_from_this(),
                             number = this->connection](ErrorCode error, std::size_t) {
                                if (number != self->connection) {
                                    return;
                                }
                                if (error) {
                                    self->failOpening();
                                    return;
                                }
                                self->takeHead();
                            });
}

auto FeedFlow::takeHead() -> void
{
    const AnswerHead head = AnswerHead::of(this->parser->get());
    if (!head.isOk()) {
        this->takeRefusal(head);
        return;
    }
    if (!head.token.empty()) {
        this->token = head.token;
    }
    this->failures = 0;
    this->isOpen = true;
    ++this->counts.openings;
    ++this->counts.open;
    if (!this->upstream.empty()) {
        ++this->counts.byUpstream[this->upstream];
    }
    if (!this->wasOpened) {
        this->wasOpened = true;
        ++this->counts.opened;
    }
    if (this->endedAt) {
        const std::chrono::duration<double, std::milli> gap = Clock::now() - *this->endedAt;
        this->counts.gapMs.add(gap.count());
        this->endedAt.reset();
    }
    this->opened();
    this->readEvents();
}

auto FeedFlow::takeRefusal(const AnswerHead &head) -> void
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
        this->openAgain(firstBackOff);
        return;
    }
    this->openAgain(nanoseconds(head.retryAfterS.value_or(defaultRetryAfterS)));
}

auto FeedFlow::readEvents() -> void
{
    http::async_read_some(this->socket, this->buffer, *this->parser,
                          [self = this->shared_from_this(),
                           number = this->connection](ErrorCode error, std::size_t) {
                              if (number != self->connection) {
                                  return;
                              }
                              self->takeBytes();
                              if (self->parser->is_done()) {
                                  ++self->counts.moved;
                                  self->counts.cutEvents += self->events.isWithinEvent() ? 1 : 0;
                                  self->closeOpen();
                                  self->open();
                                  return;
                              }
                              if (error) {
                                  ++self->counts.brokenFlows;
                                  self->closeOpen();
                                  self->open();
                                  return;
                              }
                              self->readEvents();
                          });
}

auto FeedFlow::takeBytes() -> void
{
    std::string &body = this->parser->get().body();
    this->lastBytes = Clock::now();
    for (const FeedEvent &event : this->events.append(body)) {
        this->takeEvent(event);
    }
    body.clear();
}

auto FeedFlow::takeEvent(const FeedEvent &event) -> void
{
    ++this->counts.events;
    const std::string before = this->upstream;
    this->takeOrigin(event.data);
    if (before == this->upstream && this->lastId) {
        if (event.id <= *this->lastId) {
            ++this->counts.repeatedEvents;
            return;
        }
        this->counts.lostEvents += event.id - *this->lastId - 1;
    }
    this->lastId = event.id;
}

/// Compares the upstream and service of an event with those before.
auto FeedFlow::takeOrigin(const std::string &data) -> void
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

auto FeedFlow::failOpening() -> void
{
    ++this->counts.openFailures;
    ErrorCode ignored;
    this->socket.close(ignored);
    const unsigned doublings = std::min(this->failures, backOffDoublings);
    ++this->failures;
    this->openAgain(firstBackOff * (1U << doublings));
}

auto FeedFlow::closeOpen() -> void
{
    ErrorCode ignored;
    this->socket.close(ignored);
    if (!this->isOpen) {
        return;
    }
    this->isOpen = false;
    this->endedAt = Clock::now();
    --this->counts.open;
    if (!this->upstream.empty()) {
        --this->counts.byUpstream[this->upstream];
    }
}

auto FeedFlow::openAgain(std::chrono::nanoseconds pause) -> void
{
    ++this->connection;
    this->timer.expires_after(pause);
    this->timer.async_wait([self = this->shared_from_this()](ErrorCode error) {
        if (!error) {
            self->open();
        }
    });
}

} // namespace standins
