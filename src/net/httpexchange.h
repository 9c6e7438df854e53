/// One request that came in, the call made for it, and the answer passed back.
#pragma once

#include "net/answerhead.h"
#include "net/httpcall.h"
#include "net/httphead.h"
#include "net/request.h"
#include "net/storedanswer.h"
#include "net/timer.h"
#include "wire/eventsplitter.h"

#include <flamingograde/action.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct st_h2o_req_t;

namespace flamingograde::net {

class CallerAnswer;
struct ExchangeContext;

/// Carries out the actions on one exchange and reports its progress.
/// @remarks Not thread safe. Not to be destroyed from within a callback of h2o.
class HttpExchange
{
public:
    /// Takes over the answering of `incoming`. Precondition: `shared` outlives this.
    HttpExchange(ExchangeContext &shared, ExchangeId number, Request request,
                 st_h2o_req_t *incoming);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    auto operator=(const HttpExchange &) -> HttpExchange & = delete;

    /// Each carries out an action. Precondition: the action is for this exchange.
    auto act(const Dispatch &action) -> void;
    auto act(const Relay &action) -> void;
    auto act(const OpenFeed &action) -> void;
    auto act(const PassAnswer &action) -> void;
    auto act(const ReplayAnswer &action) -> void;
    auto act(const Refuse &action) -> void;
    auto act(const Cancel &action) -> void;
    auto act(const AbortAnswer &action) -> void;
    auto act(const EndFeed &action) -> void;

    /// The caller is known to have left: cuts its connection. Precondition: none.
    auto callerLeft() -> void;

    /// Returns the descriptor of an HTTP/1 caller, or -1.
    [[nodiscard]] auto callerDescriptor() const -> int;

private:
    auto startCall(HttpRequest sent, std::uint32_t number, AnswerSource from) -> void;
    auto takeHead(HttpHead head) -> void;
    auto takeBody(std::string_view bytes) -> void;
    auto takeEnd(CallEnd end) -> void;
    auto passHead(const std::string &setToken) -> void;
    auto passBytes(std::string_view bytes) -> void;
    auto keep(std::string_view bytes) -> void;
    auto finishAnswer() -> void;
    auto answerGone(bool whole) -> void;
    auto report(Progress progress) -> void;
    auto reportAnswered() -> void;
    auto sendWhole(const HttpHead &head, std::string_view body) -> void;
    auto close() -> void;
    auto finishIfIdle() -> void;
    auto keepAlive() -> void;
    auto drained() -> void;

    ExchangeContext &context;
    ExchangeId id;
    std::shared_ptr<const Request> request;
    std::shared_ptr<CallerAnswer> answer; ///< Null once the caller is gone.
    std::unique_ptr<HttpCall> call;
    std::uint32_t attempt = 0;
    AnswerSource source = AnswerSource::Upstream;
    std::optional<HttpHead> head;          ///< Of the current call.
    std::string held;                      ///< Body that came before `PassAnswer`.
    std::optional<StoredAnswer> stored;    ///< What is kept of the answer, on request.
    std::unique_ptr<EventSplitter> events; ///< Of a feed; kept while it is reopened.
    Timer keepAliveTimer;
    MonoTime lastWrite;
    bool headPassed = false; ///< The caller has a head.
    bool streaming = false;  ///< The current call's body goes to the caller.
    bool splitting = false;  ///< The current call's body is a stream of events.
    bool callEnded = false;  ///< The current call ended wholly.
    bool closed = false;     ///< The library holds the exchange to be finished.
};

} // namespace flamingograde::net
