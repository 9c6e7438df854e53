/// The host process: runs the balancer library and carries out its actions.
#pragma once

#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/loop.h"
#include "net/peerhub.h"
#include "net/reporter.h"
#include "net/settingswatch.h"
#include "net/signalwatch.h"
#include "wire/settings.h"

#include <flamingograde/balancer.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace flamingograde::platform {

class StoreReader;

} // namespace flamingograde::platform

namespace flamingograde::net {

class Listener;
class PacketPlane;
class RequestPlane;

/// Runs one host until its graceful shutdown is complete.
/// @remarks Not thread safe. At most one per process.
class Daemon
{
public:
    /// @param file path of the settings file, which is reloaded when it changes.
    /// @param start start time of the process.
    /// Precondition: the log is open.
    Daemon(Settings chosen, const std::string &file, MonoTime start);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// Runs the event loop until the shutdown is complete.
    /// @returns the exit status of the process.
    [[nodiscard]] auto run() -> int;

private:
    auto open() -> bool;
    auto openRequests() -> bool;
    auto openPackets() -> bool;
    auto openPeers() -> bool;
    auto openHttp() -> bool;
    auto loadDirectory() -> void;
    auto turn() -> void;
    auto post(Event event) -> void;
    /// Passes the queued events to the balancer and carries out the resulting actions.
    auto handleQueuedEvents() -> void;
    auto act(const Action &action) -> void;
    auto requestStop() -> void;
    auto applySettings(const Settings &read) -> void;
    auto answer(st_h2o_req_t *request, Address tag) -> void;
    auto answerAdminRequest(st_h2o_req_t *request) -> void;
    [[nodiscard]] auto metrics() const -> std::string;
    [[nodiscard]] auto hasEnded() const -> bool;
    auto tickIfDue() -> void;

    Settings settings;
    MonoTime startedAt;
    Loop loop;
    SignalWatch signals;
    SettingsWatch settingsWatch;
    HttpClient client;
    /// For admin requests and the network fabric's readiness checks.
    std::unique_ptr<HttpServer> http;
    BoundAddresses bound;
    std::unique_ptr<RequestPlane> requests; ///< Null if the platform provides a directory.
    std::unique_ptr<PacketPlane> packets;   ///< Null if this host forwards no packets.
    std::unique_ptr<platform::StoreReader> directory; ///< Null if the platform provides a table.
    std::unique_ptr<Listener> peerListener;
    std::unique_ptr<PeerHub> peers;
    std::unique_ptr<Balancer> balancer;
    std::deque<Event> queue;
    MonoTime nextTick;
    bool stopping = false;
    /// Description of the work that the balancer left unfinished, reported at exit; set once the
    /// balancer's shutdown is complete.
    std::optional<std::string> unfinished;
    /// Latest exit time, even if responses are still being sent.
    std::optional<MonoTime> exitDeadline;
};

} // namespace flamingograde::net
