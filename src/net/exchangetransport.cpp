/// All requests in progress: from callers and from other hosts.
#include "net/exchangetransport.h"

#include "net/headernames.h"
#include "net/httpexchange.h"
#include "net/incomingrequest.h"
#include "net/loop.h"

#include <h2o.h>

#include <utility>

namespace flamingograde::net {

namespace {

/// Reports `NotSent` for an action on an exchange that no longer exists, if the action would have
/// sent a request; other actions need no report.
template<typename A>
auto reportNotSent(const ExchangeContext &context, const A &action) -> void
{
    if constexpr (std::is_same_v<
                          A, Dispatch> || std::is_same_v<A, Relay> || std::is_same_v<A, OpenFeed>) {
        context.post(ExchangeProgress { action.exchange, action.attempt, Progress::NotSent });
    }
}

} // namespace

ExchangeTransport::ExchangeTransport(Loop &loop, HttpClient &client, std::string hostName,
                                     Post post)
    : context { loop, client, std::move(hostName), std::move(post),
                [this](ExchangeId id) {
                    this->context.loop.defer([this, id] { this->exchanges.erase(id); });
                } },
      disconnectWatch(loop, [this](ExchangeId id) {
          const auto found = this->exchanges.find(id);
          if (found != this->exchanges.end()) {
              found->second->callerLeft();
          }
      })
{}

ExchangeTransport::~ExchangeTransport() = default;

auto ExchangeTransport::nextId() -> ExchangeId
{
    return ExchangeId(++this->lastNumber);
}

auto ExchangeTransport::add(st_h2o_req_t *request) -> HttpExchange &
{
    const auto id = this->nextId();
    auto exchange =
            std::make_unique<HttpExchange>(this->context, id, readRequest(*request), request);
    const auto descriptor = exchange->callerDescriptor();
    if (descriptor >= 0) {
        this->disconnectWatch.watch(descriptor, id);
    }
    return *this->exchanges.emplace(id, std::move(exchange)).first->second;
}

auto ExchangeTransport::acceptCaller(st_h2o_req_t *request, Address address) -> void
{
    auto event = readCaller(*request, address);
    this->add(request);
    event.exchange = ExchangeId(this->lastNumber);
    this->context.post(std::move(event));
}

auto ExchangeTransport::acceptRelay(st_h2o_req_t *request) -> void
{
    auto event = readRelay(*request);
    if (!event) {
        h2o_send_error_400(request, "Bad Request", "relay headers are missing\n", 0);
        return;
    }
    this->add(request);
    event->exchange = ExchangeId(this->lastNumber);
    this->context.post(std::move(*event));
}

template<typename A>
auto ExchangeTransport::act(const A &action) -> void
{
    const auto found = this->exchanges.find(action.exchange);
    if (found == this->exchanges.end()) {
        reportNotSent(this->context, action);
        return;
    }
    found->second->act(action);
}

template auto ExchangeTransport::act(const Dispatch &) -> void;
template auto ExchangeTransport::act(const Relay &) -> void;
template auto ExchangeTransport::act(const OpenFeed &) -> void;
template auto ExchangeTransport::act(const PassAnswer &) -> void;
template auto ExchangeTransport::act(const ReplayAnswer &) -> void;
template auto ExchangeTransport::act(const Refuse &) -> void;
template auto ExchangeTransport::act(const Cancel &) -> void;
template auto ExchangeTransport::act(const AbortAnswer &) -> void;
template auto ExchangeTransport::act(const EndFeed &) -> void;

} // namespace flamingograde::net
