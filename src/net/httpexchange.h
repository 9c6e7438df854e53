/// One incoming request, the outgoing call made for it, and the response forwarded back.
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
/// @remarks Not thread safe. Must not be destroyed from within a callback of h2o.
class HttpExchange
{
public:
    /// Becomes responsible for the response to `incoming`.
    /// Precondition: `shared` outlives the exchange.
    HttpExchange(ExchangeContext &shared, ExchangeId number, Request request,
                 st_h2o_req_t *incoming);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    auto operator=(const HttpExchange &) -> HttpExchange & = delete;

    /// Carries out an action. Precondition: the action is for this exchange.
    auto act(const Dispatch &action) -> void;
    auto act(const Relay &action) -> void;
    auto act(const OpenFeed &action) -> void;
    auto act(const PassAnswer &action) -> void;
    auto act(const ReplayAnswer &action) -> void;
    auto act(const Refuse &action) -> void;
    auto act(const Cancel &action) -> void;
    auto act(const AbortAnswer &action) -> void;
    auto act(const EndFeed &action) -> void;

    /// Aborts an unfinished response after the caller closed its connection. Precondition: none.
    auto callerLeft() -> void;

    /// Returns the socket descriptor of an HTTP/1 caller; -1 for HTTP/2 or a closed request.
    [[nodiscard]] auto callerDescriptor() const -> int;

private:
    auto startCall(HttpRequest outgoing, std::uint32_t attemptNumber, AnswerSource from) -> void;
    auto handleHead(HttpHead received) -> void;
    auto handleBody(std::string_view bytes) -> void;
    auto handleEnd(CallEnd end) -> void;
    auto forwardHead(const std::string &setToken) -> void;
    auto forwardBytes(std::string_view bytes) -> void;
    auto storeBytes(std::string_view bytes) -> void;
    auto completeAnswer() -> void;
    auto onAnswerClosed(bool whole) -> void;
    auto report(Progress progress) -> void;
    auto reportAnswered() -> void;
    auto sendComplete(const HttpHead &whole, std::string_view body) -> void;
    auto close() -> void;
    auto finishIfIdle() -> void;
    auto keepAlive() -> void;
    auto resumeCall() -> void;

    ExchangeContext &context;
    ExchangeId id;
    std::shared_ptr<const Request> request;
    std::shared_ptr<CallerAnswer> answer; ///< Null once h2o has disposed of the request.
    std::unique_ptr<HttpCall> call;
    std::uint32_t attempt = 0;
    AnswerSource source = AnswerSource::Upstream;
    std::optional<HttpHead> head;       ///< Response head of the current call.
    std::string heldBody;               ///< Body bytes received before `PassAnswer`.
    std::optional<StoredAnswer> stored; ///< Copy of the response, if `Dispatch` asked to keep it.
    std::unique_ptr<EventSplitter> events; ///< Splitter of a feed; survives reopening.
    Timer keepAliveTimer;
    MonoTime lastWrite;
    bool headForwarded = false; ///< A head was forwarded to the caller.
    bool forwardsBody = false;  ///< The body of the current call is forwarded to the caller.
    bool isEventBody = false;   ///< The body of the current call is an event stream.
    bool callCompleted = false; ///< The current call ended with a complete response.
    bool closed = false;        ///< The balancer library regards the exchange as finished.
};

} // namespace flamingograde::net
