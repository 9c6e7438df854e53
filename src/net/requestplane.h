/// What serves the rows of a table over HTTP.
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

/// Callers' and other hosts' requests, calls to upstreams, and the platform's table.
///
/// A host whose platform publishes a directory has none.
/// @remarks Not thread safe.
class RequestPlane
{
public:
    using Post = std::function<void(Event)>;

    /// Precondition: `loop` and `client` outlive this.
    RequestPlane(Loop &loop, HttpClient &client, const Settings &settings, const Post &post);

    /// Listens for other hosts' requests.
    /// @returns the address bound, or why not.
    [[nodiscard]] auto open(Address relay) -> tl::expected<Address, std::string>;

    /// Carries out an action that concerns requests; passes over others.
    /// Precondition: not called from within a callback of h2o.
    auto act(const Action &action) -> void;

    /// Ends callers' connections with the next row that is no longer listened for.
    /// Precondition: none.
    auto beginStop() -> void { this->stopping = true; }

    /// Returns the requests and feeds under way. Precondition: none.
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
