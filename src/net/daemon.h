/// A host: the deciding library with everything that carries out its actions.
#pragma once

#include "net/exchangetransport.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/loop.h"
#include "net/peerhub.h"
#include "net/platformreader.h"
#include "net/reporter.h"
#include "net/rowlisteners.h"
#include "net/signalwatch.h"
#include "net/upstreamprober.h"
#include "wire/settings.h"

#include <flamingograde/balancer.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace flamingograde::net {

class Listener;

/// Runs one host until it has stopped in order.
/// @remarks Not thread safe. One in a process.
class Daemon
{
public:
    /// Precondition: the log is open.
    explicit Daemon(Settings chosen);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// Serves until the stop is complete.
    /// @returns the exit status of the process.
    [[nodiscard]] auto run() -> int;

private:
    auto open() -> bool;
    auto openServers() -> bool;
    auto openPeers() -> bool;
    auto post(Event event) -> void;
    /// Handles what was posted. @returns whether there was anything.
    auto handleQueued() -> bool;
    auto act(const Action &action) -> void;
    auto requestStop() -> void;
    auto answerOperator(st_h2o_req_t *request) -> void;
    [[nodiscard]] auto isServing() const -> bool;
    [[nodiscard]] auto hasEnded() const -> bool;
    auto tickIfDue() -> void;
    auto unlisten(Address address) -> void;

    Settings settings;
    Loop loop;
    SignalWatch signals;
    HttpClient client;
    PlatformReader platform;
    UpstreamProber prober;
    ExchangeTransport exchanges;
    HttpServer callers;
    HttpServer relays;
    HttpServer operators;
    RowListeners rows;
    BoundAddresses bound;
    std::unique_ptr<Listener> peerListener;
    std::unique_ptr<PeerHub> peers;
    std::unique_ptr<Balancer> balancer;
    std::deque<Event> queue;
    MonoTime nextTick;
    bool stopping = false;
    std::optional<std::string> left;   ///< What the stop left unfinished, once it is complete.
    std::optional<MonoTime> endBefore; ///< When the process ends even if answers are still sent.
};

} // namespace flamingograde::net
