/// A host: the deciding library with everything that carries out its actions.
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

/// Runs one host until it has stopped in order.
/// @remarks Not thread safe. One in a process.
class Daemon
{
public:
    /// @param file the settings file, which is read again when it changes.
    /// @param start when the process began.
    /// Precondition: the log is open.
    Daemon(Settings chosen, const std::string &file, MonoTime start);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// Serves until the stop is complete.
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
    /// Handles what was posted.
    auto handleQueued() -> void;
    auto act(const Action &action) -> void;
    auto requestStop() -> void;
    auto takeSettings(const Settings &read) -> void;
    auto answer(st_h2o_req_t *request, Address tag) -> void;
    auto answerOperator(st_h2o_req_t *request) -> void;
    [[nodiscard]] auto metrics() const -> std::string;
    [[nodiscard]] auto hasEnded() const -> bool;
    auto tickIfDue() -> void;

    Settings settings;
    MonoTime startedAt;
    Loop loop;
    SignalWatch signals;
    SettingsWatch settingsWatch;
    HttpClient client;
    std::unique_ptr<HttpServer> http; ///< For operators and the fabric's checks.
    BoundAddresses bound;
    std::unique_ptr<RequestPlane> requests;           ///< Null where the platform has a directory.
    std::unique_ptr<PacketPlane> packets;             ///< Null where no packets are carried.
    std::unique_ptr<platform::StoreReader> directory; ///< Null where the platform has a table.
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
