/// All requests in progress: from callers and from other hosts.
#pragma once

#include "net/disconnectwatch.h"
#include "net/exchangecontext.h"

#include <flamingograde/action.h>
#include <flamingograde/address.h>
#include <flamingograde/event.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct st_h2o_req_t;

namespace flamingograde::net {

class HttpClient;
class HttpExchange;
class Loop;

/// Turns incoming requests into events and carries out the balancer's actions on them.
/// @remarks Not thread safe.
class ExchangeTransport
{
public:
    using Post = std::function<void(Event)>;

    /// @param hostName name of this host, sent to other hosts.
    /// @param post receives the events.
    ExchangeTransport(Loop &loop, HttpClient &client, std::string hostName, Post post);
    ~ExchangeTransport();
    ExchangeTransport(const ExchangeTransport &) = delete;
    auto operator=(const ExchangeTransport &) -> ExchangeTransport & = delete;

    /// Accepts a caller's request that arrived at the row's `address`.
    /// Precondition: no part of the response to `request` has been sent.
    auto acceptCaller(st_h2o_req_t *request, Address address) -> void;

    /// Accepts a request relayed by another host; answers 400 if relay headers are missing.
    /// Precondition: no part of the response to `request` has been sent.
    auto acceptRelay(st_h2o_req_t *request) -> void;

    /// Carries out an action on an exchange. If the exchange no longer exists, only reports an
    /// action that would have sent a request as not sent.
    /// Precondition: not called from within a callback of h2o.
    template<typename A>
    auto act(const A &action) -> void;

    /// Returns the number of requests and feeds in progress. Precondition: none.
    [[nodiscard]] auto size() const -> std::size_t { return this->exchanges.size(); }

private:
    auto add(st_h2o_req_t *request) -> HttpExchange &;
    auto nextId() -> ExchangeId;

    ExchangeContext context;
    DisconnectWatch disconnectWatch;
    std::unordered_map<ExchangeId, std::unique_ptr<HttpExchange>> exchanges;
    std::uint64_t lastNumber = 0;
};

} // namespace flamingograde::net
