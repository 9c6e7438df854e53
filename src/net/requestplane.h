/// Serves the rows of a table over HTTP.
#pragma once

#include "net/exchangetransport.h"
#include "net/httpserver.h"
#include "net/platformreader.h"
#include "net/rowlisteners.h"
#include "net/upstreamprober.h"
#include "wire/settings.h"

#include <flamingograde/action.h>
#include <flamingograde/event.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <string>

namespace flamingograde::net {

class HttpClient;
class Loop;

/// Handles requests from callers and other hosts, calls to upstreams, and reads of the platform's
/// table.
///
/// Not created on a host whose platform publishes a directory.
/// @remarks Not thread safe.
class RequestPlane
{
public:
    using Post = std::function<void(Event)>;

    /// Precondition: `loop` and `client` outlive this.
    RequestPlane(Loop &loop, HttpClient &client, const Settings &settings, const Post &post);

    /// Listens for requests relayed by other hosts.
    /// @returns the bound address, or an error message.
    [[nodiscard]] auto open(Address relay) -> tl::expected<Address, std::string>;

    /// Carries out an action that concerns requests; ignores all others.
    /// Precondition: not called from an h2o callback.
    auto act(const Action &action) -> void;

    /// Makes each later `Unlisten` also shut down the callers' connections.
    /// Precondition: none.
    auto beginStop() -> void { this->stopping = true; }

    /// Returns the number of requests and feeds in progress. Precondition: none.
    [[nodiscard]] auto size() const -> std::size_t { return this->exchanges.size(); }

private:
    auto unlisten(Address address) -> void;

    PlatformReader platform;
    UpstreamProber prober;
    ExchangeTransport exchanges;
    HttpServer callers;
    HttpServer relays;
    RowListeners rows;
    bool stopping = false;
};

} // namespace flamingograde::net
