/// All requests under way: from callers and from other hosts.
#pragma once

#include "net/exchangecontext.h"
#include "net/leavewatch.h"

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

/// Turns requests that come in into events, and the actions on them into bytes.
/// @remarks Not thread safe.
class ExchangeTransport
{
public:
    using Post = std::function<void(Event)>;

    /// @param hostName this host's name, told to other hosts.
    /// @param post takes the events.
    ExchangeTransport(Loop &loop, HttpClient &client, std::string hostName, Post post);
    ~ExchangeTransport();
    ExchangeTransport(const ExchangeTransport &) = delete;
    auto operator=(const ExchangeTransport &) -> ExchangeTransport & = delete;

    /// Takes a caller's request that came to the row's `address`.
    /// Precondition: nothing of `request` was answered.
    auto takeCaller(st_h2o_req_t *request, Address address) -> void;

    /// Takes another host's request; answers one with missing headers itself.
    /// Precondition: nothing of `request` was answered.
    auto takeRelay(st_h2o_req_t *request) -> void;

    /// Carries out an action on an exchange; without effect where the exchange is gone.
    /// Precondition: not called from within a callback of h2o.
    template<typename A>
    auto act(const A &action) -> void;

    /// Returns the requests and feeds under way. Precondition: none.
    [[nodiscard]] auto size() const -> std::size_t { return this->exchanges.size(); }

private:
    auto add(st_h2o_req_t *request) -> HttpExchange &;
    auto nextId() -> ExchangeId;

    ExchangeContext context;
    LeaveWatch leaveWatch;
    std::unordered_map<ExchangeId, std::unique_ptr<HttpExchange>> exchanges;
    std::uint64_t lastNumber = 0;
};

} // namespace flamingograde::net
