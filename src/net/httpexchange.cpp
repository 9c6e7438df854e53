/// One incoming request, the outgoing call made for it, and the response forwarded back.
#include "net/httpexchange.h"

#include "net/calleranswer.h"
#include "net/exchangecontext.h"
#include "net/httpclient.h"
#include "net/loop.h"
#include "net/requesthead.h"

#include <flamingograde/config.h>

#include <utility>

namespace flamingograde::net {

namespace {

/// Reading of the call's response pauses when more bytes than this wait for the caller.
constexpr std::size_t backlogMax = 256U << 10U;
constexpr auto feedTimeout = std::chrono::hours(24 * 365); ///< One year: a feed has no deadline.
constexpr auto statusOk = 200;
constexpr std::string_view keepAliveComment = ":\n\n";

} // namespace

HttpExchange::HttpExchange(ExchangeContext &shared, ExchangeId number, Request request,
                           st_h2o_req_t *incoming)
    : context(shared), id(number), request(std::make_shared<const Request>(std::move(request)))
{
    this->answer =
            CallerAnswer::attach(incoming, { [this](bool whole) { this->onAnswerClosed(whole); },
                                             [this] { this->resumeCall(); } });
}

HttpExchange::~HttpExchange() = default;

auto HttpExchange::act(const Dispatch &action) -> void
{
    this->stored.reset();
    if (action.keepAnswer) {
        this->stored.emplace();
    }
    HttpRequest outgoing;
    outgoing.target = action.address;
    outgoing.head = requestHead(action, *this->request);
    outgoing.body = std::shared_ptr<const std::string>(this->request, &this->request->body);
    outgoing.isHead = this->request->method == "HEAD";
    outgoing.newConnection = action.freshConnection;
    outgoing.timeout = action.remaining;
    outgoing.writeDeadline = action.expires;
    this->startCall(std::move(outgoing), action.attempt, AnswerSource::Upstream);
}

auto HttpExchange::act(const Relay &action) -> void
{
    HttpRequest outgoing;
    outgoing.target = action.address;
    outgoing.head = requestHead(action, *this->request, this->context.hostName);
    outgoing.body = std::shared_ptr<const std::string>(this->request, &this->request->body);
    outgoing.isHead = this->request->method == "HEAD";
    outgoing.newConnection = !action.key.empty();
    outgoing.timeout = action.remaining;
    outgoing.writeDeadline = Loop::now().wall + action.remaining;
    this->startCall(std::move(outgoing), action.attempt, AnswerSource::Home);
}

auto HttpExchange::act(const OpenFeed &action) -> void
{
    if (this->events == nullptr) {
        this->events = std::make_unique<EventSplitter>();
    }
    this->events->dropPartial();
    const auto &lastId = this->events->lastId();
    HttpRequest outgoing;
    outgoing.target = action.address;
    outgoing.head = requestHead(action, *this->request,
                                lastId.empty() ? this->request->lastEventId : lastId);
    outgoing.newConnection = true;
    outgoing.timeout = feedTimeout;
    outgoing.silence = config::feedSilenceTimeout;
    this->startCall(std::move(outgoing), action.attempt, AnswerSource::Upstream);
}

auto HttpExchange::startCall(HttpRequest outgoing, std::uint32_t attemptNumber, AnswerSource from)
        -> void
{
    this->call.reset();
    this->attempt = attemptNumber;
    this->source = from;
    this->head.reset();
    this->heldBody.clear();
    this->forwardsBody = false;
    this->isEventBody = false;
    this->callCompleted = false;
    CallHandlers handlers;
    handlers.onHead = [this](HttpHead received) { this->handleHead(std::move(received)); };
    handlers.onBody = [this](std::string_view bytes) { this->handleBody(bytes); };
    handlers.onEnd = [this](CallEnd end, int /*error*/) { this->handleEnd(end); };
    this->call = std::make_unique<HttpCall>(this->context.client, std::move(outgoing),
                                            std::move(handlers));
    this->call->start();
}

auto HttpExchange::handleHead(HttpHead received) -> void
{
    this->isEventBody =
            this->events != nullptr && received.status == statusOk && isEventStream(received);
    this->head = std::move(received);
    ExchangeProgress progress { this->id, this->attempt, Progress::Answering };
    progress.head = readAnswerHead(*this->head, this->source);
    this->context.post(std::move(progress));
    this->forwardsBody = this->headForwarded && this->isEventBody;
}

auto HttpExchange::handleBody(std::string_view bytes) -> void
{
    this->storeBytes(bytes);
    if (!this->isEventBody) {
        this->forwardBytes(bytes);
        return;
    }
    this->forwardBytes(this->events->push(bytes));
    if (this->events->isEventTooLarge()) {
        this->call->expire();
    }
}

auto HttpExchange::forwardBytes(std::string_view bytes) -> void
{
    if (bytes.empty() || this->answer == nullptr) {
        return;
    }
    if (this->forwardsBody) {
        this->lastWrite = Loop::now().mono;
        this->answer->write(bytes);
    } else {
        this->heldBody.append(bytes);
    }
    if (this->answer != nullptr && this->answer->backlog() + this->heldBody.size() > backlogMax) {
        this->call->pause();
    }
}

auto HttpExchange::storeBytes(std::string_view bytes) -> void
{
    if (!this->stored) {
        return;
    }
    if (this->stored->body.size() + bytes.size() > config::storedAnswerMax) {
        this->stored.reset();
        return;
    }
    this->stored->body.append(bytes);
}

auto HttpExchange::handleEnd(CallEnd end) -> void
{
    switch (end) {
    case CallEnd::NotSent:
        this->report(Progress::NotSent);
        break;
    case CallEnd::Lost:
        this->report(Progress::Lost);
        break;
    case CallEnd::Truncated:
        this->report(Progress::Cut);
        break;
    case CallEnd::Complete:
        if (this->isEventBody) {
            this->report(Progress::Cut); // A feed that ends is reopened.
            break;
        }
        this->callCompleted = true;
        this->completeAnswer();
        break;
    }
    if (this->answer == nullptr) {
        this->closed = true;
        this->context.finished(this->id);
    }
}

auto HttpExchange::report(Progress progress) -> void
{
    this->context.post(ExchangeProgress { this->id, this->attempt, progress });
}

auto HttpExchange::completeAnswer() -> void
{
    if (!this->callCompleted) {
        return;
    }
    if (this->answer == nullptr) {
        this->reportAnswered();
    } else if (this->forwardsBody) {
        this->answer->end();
    }
}

auto HttpExchange::reportAnswered() -> void
{
    ExchangeProgress progress { this->id, this->attempt, Progress::Answered };
    if (this->stored && this->head) {
        this->stored->head = forwardedHead(*this->head, this->source, "");
        progress.whole = std::make_shared<const std::string>(this->stored->encode());
    }
    this->context.post(std::move(progress));
}

auto HttpExchange::act(const PassAnswer &action) -> void
{
    if (this->answer == nullptr || !this->head || this->headForwarded) {
        return;
    }
    this->forwardHead(action.setToken);
    this->forwardsBody = true;
    const auto received = std::exchange(this->heldBody, {});
    if (this->callCompleted) {
        this->answer->end(received);
        return;
    }
    if (this->isEventBody) {
        this->answer->write(keepAliveComment); // h2o sends the head only with the first body byte.
    }
    this->forwardBytes(received);
}

auto HttpExchange::forwardHead(const std::string &setToken) -> void
{
    this->headForwarded = true;
    auto forwarded = forwardedHead(*this->head, this->source, setToken);
    if (this->isEventBody) {
        forwarded.contentLength.reset();
        this->lastWrite = Loop::now().mono;
        this->keepAlive();
    }
    this->answer->start(forwarded);
}

auto HttpExchange::keepAlive() -> void
{
    const auto idle = Loop::now().mono - this->lastWrite;
    if (idle >= config::callerKeepAlive && this->answer != nullptr) {
        this->lastWrite = Loop::now().mono;
        if (this->answer->backlog() == 0) {
            this->answer->write(keepAliveComment);
        }
    }
    const auto next = config::callerKeepAlive - (Loop::now().mono - this->lastWrite);
    this->keepAliveTimer = this->context.loop.after(next, [this] { this->keepAlive(); });
}

auto HttpExchange::act(const ReplayAnswer &action) -> void
{
    const auto kept = StoredAnswer::decode(*action.whole);
    if (kept) {
        this->sendComplete(kept->head, kept->body);
    } else {
        this->act(AbortAnswer { this->id });
    }
}

auto HttpExchange::act(const Refuse &action) -> void
{
    if (this->headForwarded) {
        this->act(AbortAnswer { this->id });
        return;
    }
    this->sendComplete(refusalHead(action.refusal), refusalBody(action.refusal));
}

auto HttpExchange::sendComplete(const HttpHead &whole, std::string_view body) -> void
{
    this->closed = true;
    if (this->answer != nullptr) {
        auto sized = whole;
        sized.contentLength = body.size();
        this->headForwarded = true;
        this->answer->start(sized);
        this->answer->end(body);
    }
    this->close();
}

auto HttpExchange::act(const Cancel & /*action*/) -> void
{
    this->call.reset();
    this->heldBody.clear();
    this->finishIfIdle();
}

auto HttpExchange::act(const AbortAnswer & /*action*/) -> void
{
    this->closed = true; // Prevents `onAnswerClosed` from reporting that the caller left.
    if (this->answer != nullptr) {
        this->answer->abort();
    }
    this->close();
}

auto HttpExchange::act(const EndFeed & /*action*/) -> void
{
    this->call.reset();
    this->keepAliveTimer.cancel();
    this->callCompleted = true;
    if (this->answer != nullptr && this->headForwarded) {
        this->answer->end(); // Only complete events were written.
        return;
    }
    this->reportAnswered();
    this->act(AbortAnswer { this->id });
}

auto HttpExchange::close() -> void
{
    this->closed = true;
    this->call.reset();
    this->keepAliveTimer.cancel();
    this->finishIfIdle();
}

auto HttpExchange::callerLeft() -> void
{
    // After the last byte a caller may close its connection before h2o notices that the response is
    // sent; such a response is complete and is not aborted.
    if (this->answer != nullptr && !this->answer->isEnded()) {
        this->answer->abort();
    }
}

auto HttpExchange::callerDescriptor() const -> int
{
    return this->answer == nullptr ? -1 : this->answer->http1Descriptor();
}

auto HttpExchange::onAnswerClosed(bool whole) -> void
{
    this->answer.reset();
    this->keepAliveTimer.cancel();
    if (!this->closed && whole && this->callCompleted) {
        this->closed = true;
        this->reportAnswered();
    } else if (!this->closed) {
        this->context.post(CallerLeft { this->id });
        this->resumeCall();
    }
    this->finishIfIdle();
}

auto HttpExchange::finishIfIdle() -> void
{
    const auto isCalling = this->call != nullptr && !this->callCompleted;
    if (this->answer == nullptr && (this->closed || !isCalling)) {
        this->context.finished(this->id);
    }
}

auto HttpExchange::resumeCall() -> void
{
    if (this->call != nullptr) {
        this->call->resume();
    }
}

} // namespace flamingograde::net
