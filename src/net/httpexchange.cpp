/// One request that came in, the call made for it, and the answer passed back.
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

constexpr std::size_t backlogMax = 256U
                                   << 10U; ///< Bytes waiting for a caller before reading stops.
constexpr auto feedTimeout = std::chrono::hours(24 * 365); ///< A feed has no deadline.
constexpr auto statusOk = 200;
constexpr std::string_view keepAliveComment = ":\n\n";

} // namespace

HttpExchange::HttpExchange(ExchangeContext &shared, ExchangeId number, Request request,
                           st_h2o_req_t *incoming)
    : context(shared), id(number), request(std::make_shared<const Request>(std::move(request)))
{
    this->answer = CallerAnswer::attach(incoming, { [this](bool whole) { this->answerGone(whole); },
                                                    [this] { this->drained(); } });
}

HttpExchange::~HttpExchange() = default;

auto HttpExchange::act(const Dispatch &action) -> void
{
    this->stored.reset();
    if (action.keepAnswer) {
        this->stored.emplace();
    }
    HttpRequest sent;
    sent.target = action.address;
    sent.head = requestHead(action, *this->request);
    sent.body = std::shared_ptr<const std::string>(this->request, &this->request->body);
    sent.isHead = this->request->method == "HEAD";
    sent.fresh = action.freshConnection;
    sent.timeout = action.remaining;
    sent.notAfter = action.expires;
    this->startCall(std::move(sent), action.attempt, AnswerSource::Upstream);
}

auto HttpExchange::act(const Relay &action) -> void
{
    HttpRequest sent;
    sent.target = action.address;
    sent.head = requestHead(action, *this->request, this->context.hostName);
    sent.body = std::shared_ptr<const std::string>(this->request, &this->request->body);
    sent.isHead = this->request->method == "HEAD";
    sent.fresh = !action.key.empty();
    sent.timeout = action.remaining;
    sent.notAfter = Loop::now().wall + action.remaining;
    this->startCall(std::move(sent), action.attempt, AnswerSource::Home);
}

auto HttpExchange::act(const OpenFeed &action) -> void
{
    if (this->events == nullptr) {
        this->events = std::make_unique<EventSplitter>();
    }
    this->events->dropPartial();
    const auto &lastId = this->events->lastId();
    HttpRequest sent;
    sent.target = action.address;
    sent.head = requestHead(action, *this->request,
                            lastId.empty() ? this->request->lastEventId : lastId);
    sent.fresh = true;
    sent.timeout = feedTimeout;
    sent.silence = config::feedSilenceTimeout;
    this->startCall(std::move(sent), action.attempt, AnswerSource::Upstream);
}

auto HttpExchange::startCall(HttpRequest sent, std::uint32_t number, AnswerSource from) -> void
{
    this->call.reset();
    this->attempt = number;
    this->source = from;
    this->head.reset();
    this->held.clear();
    this->streaming = false;
    this->splitting = false;
    this->callEnded = false;
    CallHandlers handlers;
    handlers.onHead = [this](HttpHead came) { this->takeHead(std::move(came)); };
    handlers.onBody = [this](std::string_view bytes) { this->takeBody(bytes); };
    handlers.onEnd = [this](CallEnd end, int /*error*/) { this->takeEnd(end); };
    this->call =
            std::make_unique<HttpCall>(this->context.client, std::move(sent), std::move(handlers));
    this->call->start();
}

auto HttpExchange::takeHead(HttpHead came) -> void
{
    this->splitting = this->events != nullptr && came.status == statusOk && isEventStream(came);
    this->head = std::move(came);
    ExchangeProgress progress { this->id, this->attempt, Progress::Answering };
    progress.head = readAnswerHead(*this->head, this->source);
    this->context.post(std::move(progress));
    this->streaming = this->headPassed && this->splitting;
}

auto HttpExchange::takeBody(std::string_view bytes) -> void
{
    this->keep(bytes);
    if (!this->splitting) {
        this->passBytes(bytes);
        return;
    }
    this->passBytes(this->events->push(bytes));
    if (this->events->isEventTooLarge()) {
        this->call->breakOff();
    }
}

auto HttpExchange::passBytes(std::string_view bytes) -> void
{
    if (bytes.empty() || this->answer == nullptr) {
        return;
    }
    if (this->streaming) {
        this->lastWrite = Loop::now().mono;
        this->answer->write(bytes);
    } else {
        this->held.append(bytes);
    }
    if (this->answer != nullptr && this->answer->backlog() + this->held.size() > backlogMax) {
        this->call->pause();
    }
}

auto HttpExchange::keep(std::string_view bytes) -> void
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

auto HttpExchange::takeEnd(CallEnd end) -> void
{
    switch (end) {
    case CallEnd::NotSent:
        this->report(Progress::NotSent);
        break;
    case CallEnd::Lost:
        this->report(Progress::Lost);
        break;
    case CallEnd::Cut:
        this->report(Progress::Cut);
        break;
    case CallEnd::Whole:
        if (this->splitting) {
            this->report(Progress::Cut); // A feed that ends is opened again.
            break;
        }
        this->callEnded = true;
        this->finishAnswer();
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

auto HttpExchange::finishAnswer() -> void
{
    if (!this->callEnded) {
        return;
    }
    if (this->answer == nullptr) {
        this->reportAnswered();
    } else if (this->streaming) {
        this->answer->end();
    }
}

auto HttpExchange::reportAnswered() -> void
{
    ExchangeProgress progress { this->id, this->attempt, Progress::Answered };
    if (this->stored && this->head) {
        this->stored->head = passedHead(*this->head, this->source, "");
        progress.whole = std::make_shared<const std::string>(this->stored->encode());
    }
    this->context.post(std::move(progress));
}

auto HttpExchange::act(const PassAnswer &action) -> void
{
    if (this->answer == nullptr || !this->head || this->headPassed) {
        return;
    }
    this->passHead(action.setToken);
    this->streaming = true;
    const auto came = std::exchange(this->held, {});
    if (this->callEnded) {
        this->answer->end(came);
        return;
    }
    if (this->splitting) {
        this->answer->write(keepAliveComment); // h2o sends no head before the first byte.
    }
    this->passBytes(came);
}

auto HttpExchange::passHead(const std::string &setToken) -> void
{
    this->headPassed = true;
    auto passed = passedHead(*this->head, this->source, setToken);
    if (this->splitting) {
        passed.contentLength.reset();
        this->lastWrite = Loop::now().mono;
        this->keepAlive();
    }
    this->answer->start(passed);
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
        this->sendWhole(kept->head, kept->body);
    } else {
        this->act(AbortAnswer { this->id });
    }
}

auto HttpExchange::act(const Refuse &action) -> void
{
    if (this->headPassed) {
        this->act(AbortAnswer { this->id });
        return;
    }
    this->sendWhole(refusalHead(action.refusal), refusalBody(action.refusal));
}

auto HttpExchange::sendWhole(const HttpHead &whole, std::string_view body) -> void
{
    this->closed = true;
    if (this->answer != nullptr) {
        auto sized = whole;
        sized.contentLength = body.size();
        this->headPassed = true;
        this->answer->start(sized);
        this->answer->end(body);
    }
    this->close();
}

auto HttpExchange::act(const Cancel & /*action*/) -> void
{
    this->call.reset();
    this->held.clear();
    this->finishIfIdle();
}

auto HttpExchange::act(const AbortAnswer & /*action*/) -> void
{
    this->closed = true; // So that the caller's end is not told as its leaving.
    if (this->answer != nullptr) {
        this->answer->abort();
    }
    this->close();
}

auto HttpExchange::act(const EndFeed & /*action*/) -> void
{
    this->call.reset();
    this->keepAliveTimer.cancel();
    this->callEnded = true;
    if (this->answer != nullptr && this->headPassed) {
        this->answer->end(); // Whole events only were written.
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
    // A caller may close as soon as it has the last byte, before h2o has seen it leave.
    if (this->answer != nullptr && !this->answer->isEnded()) {
        this->answer->abort();
    }
}

auto HttpExchange::callerDescriptor() const -> int
{
    return this->answer == nullptr ? -1 : this->answer->http1Descriptor();
}

auto HttpExchange::answerGone(bool whole) -> void
{
    this->answer.reset();
    this->keepAliveTimer.cancel();
    if (!this->closed && whole && this->callEnded) {
        this->closed = true;
        this->reportAnswered();
    } else if (!this->closed) {
        this->context.post(CallerLeft { this->id });
        this->drained();
    }
    this->finishIfIdle();
}

auto HttpExchange::finishIfIdle() -> void
{
    const auto isCalling = this->call != nullptr && !this->callEnded;
    if (this->answer == nullptr && (this->closed || !isCalling)) {
        this->context.finished(this->id);
    }
}

auto HttpExchange::drained() -> void
{
    if (this->call != nullptr) {
        this->call->resume();
    }
}

} // namespace flamingograde::net
