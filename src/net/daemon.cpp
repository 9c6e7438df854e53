/// The host process: runs the balancer library and carries out its actions.
#include "net/daemon.h"

#include "core/overloaded.h"
#include "net/admin.h"
#include "net/hostlog.h"
#include "net/listener.h"
#include "net/metrics.h"
#include "net/packetplane.h"
#include "net/requestplane.h"
#include "platform/storereader.h"

#include <flamingograde/config.h>

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace flamingograde::net {

namespace {

constexpr auto flushTimeout = std::chrono::seconds(2); ///< For responses still being sent at exit.
constexpr auto exitFailure = 1;
// Tags of the HTTP server's two listen addresses. The addresses themselves cannot serve as keys:
// both may be configured with port 0 (any free port).
constexpr Address adminTag { 0, 1 };
constexpr Address readinessTag { 0, 2 };

/// Raises the soft limit of open file descriptors to the hard limit.
auto raiseDescriptorLimit() -> void
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

/// Logs why a setting cannot be used; returns false.
auto logRefusedSetting(const std::string &why) -> bool
{
    writeLog(LogEvent::SettingRefused, "why=\"" + why + "\"");
    return false;
}

} // namespace

Daemon::Daemon(Settings chosen, const std::string &file, MonoTime start)
    : settings(std::move(chosen)), startedAt(start),
      signals(
              this->loop, [this] { this->requestStop(); },
              [this] { this->settingsWatch.reload(); }),
      settingsWatch(this->loop, file, [this](const Settings &read) { this->applySettings(read); }),
      client(this->loop, this->settings.source)
{
    raiseDescriptorLimit();
}

Daemon::~Daemon() = default;

auto Daemon::answer(st_h2o_req_t *request, Address tag) -> void
{
    if (tag == readinessTag) {
        this->packets->answerReadiness(request);
    } else {
        this->answerAdminRequest(request);
    }
}

auto Daemon::answerAdminRequest(st_h2o_req_t *request) -> void
{
    AdminSource source;
    source.metrics = [this] { return this->metrics(); };
    source.dump = [this] { return this->balancer->dump(); };
    source.isServing = [this] { return this->balancer->isServing(); };
    source.drain = [this] { this->requestStop(); };
    source.explain = [this](Address address, const std::string &token, const std::string &key) {
        return this->balancer->explain(address, token, key);
    };
    handleAdminRequest(request, source);
}

auto Daemon::metrics() const -> std::string
{
    return metricsText(this->balancer->stats(), this->peers->traffic(),
                       this->packets == nullptr ? nullptr : &this->packets->traffic());
}

auto Daemon::run() -> int
{
    if (!this->open()) {
        flushLog(Loop::now().mono);
        return exitFailure;
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(Loop::now().mono
                                                                            - this->startedAt);
    reportReady(this->settings.init.self.name, this->bound);
    writeLog(LogEvent::Started, "host=" + this->settings.init.self.name
                                        + " version=" + this->balancer->caps().version
                                        + " took_ms=" + std::to_string(took.count()));
    while (!this->hasEnded()) {
        this->turn();
    }
    flushLog(Loop::now().mono);
    reportStopped(*this->unfinished);
    return 0;
}

auto Daemon::turn() -> void
{
    this->tickIfDue();
    while (!this->queue.empty()) {
        this->handleQueuedEvents();
        this->loop.reportWrites(); // May post further events.
    }
    if (this->packets != nullptr) {
        this->packets->startIfLoaded(Loop::now().mono);
    }
    flushLog(Loop::now().mono);
    this->loop.turn(std::max(this->nextTick - Loop::now().mono, Duration(0)));
}

auto Daemon::open() -> bool
{
    const auto opened =
            this->openRequests() && this->openPeers() && this->openPackets() && this->openHttp();
    if (!opened) {
        return false;
    }
    this->nextTick = Loop::now().mono;
    this->loadDirectory();
    this->http->start();
    this->peerListener->start();
    return true;
}

/// Loads the directory before the listeners start, so that packets that arrived during startup are
/// forwarded first. After a power failure this shortens the time from the `Started` log line to the
/// first flow by 40 ms on the users' smallest hosts, which have a twentieth of a core. Readiness
/// checks of the network fabric wait in the listen backlog meanwhile; a refused check would be
/// repeated only after 500 ms.
auto Daemon::loadDirectory() -> void
{
    if (this->directory == nullptr) {
        return;
    }
    const auto end = Loop::now().mono + config::directoryStartupWait;
    while (!this->balancer->hasDirectory() && !this->stopping && Loop::now().mono < end) {
        this->turn();
    }
}

auto Daemon::openHttp() -> bool
{
    this->http = std::make_unique<HttpServer>(
            this->loop, config::peerMessageMax,
            [this](st_h2o_req_t *request, Address tag) { this->answer(request, tag); });
    const auto admin = this->http->bind(this->settings.admin, adminTag);
    if (!admin) {
        return logRefusedSetting(admin.error());
    }
    this->bound.admin = *admin;
    if (this->packets == nullptr || !this->settings.ready.isValid()) {
        return true;
    }
    const auto ready = this->http->bind(this->settings.ready, readinessTag);
    if (!ready) {
        return logRefusedSetting(ready.error());
    }
    this->bound.ready = *ready;
    return true;
}

auto Daemon::openRequests() -> bool
{
    const auto post = [this](Event event) { this->post(std::move(event)); };
    if (this->settings.init.readsDirectory) {
        this->directory = std::make_unique<platform::StoreReader>(this->client,
                                                                  this->settings.platform, post);
        return true;
    }
    this->requests = std::make_unique<RequestPlane>(this->loop, this->client, this->settings, post);
    const auto relay = this->requests->open(this->settings.relay);
    if (!relay) {
        return logRefusedSetting(relay.error());
    }
    this->bound.relay = *relay;
    auto &self = this->settings.init.self;
    self.relay = self.relay.isValid() ? self.relay : *relay;
    return true;
}

auto Daemon::openPeers() -> bool
{
    auto listener =
            Listener::bind(this->loop, this->settings.peer, [this](st_h2o_socket_t *connection) {
                this->peers->accept(connection);
            });
    if (!listener) {
        return logRefusedSetting(listener.error());
    }
    this->peerListener = std::move(*listener);
    this->bound.peer = this->peerListener->bound();
    auto &self = this->settings.init.self;
    self.peer = self.peer.isValid() ? self.peer : this->bound.peer;
    self.incarnation = static_cast<std::uint64_t>(Loop::now().wall.time_since_epoch().count());
    this->peers = std::make_unique<PeerHub>(
            this->loop, self, this->settings.source,
            [this](Event event) { this->post(std::move(event)); }, &writeLog);
    this->balancer = std::make_unique<Balancer>(this->settings.init);
    return true;
}

auto Daemon::openPackets() -> bool
{
    if (!this->settings.packets.isValid() && this->settings.init.flowsTracked == 0) {
        return true;
    }
    this->packets = std::make_unique<PacketPlane>(this->loop, this->settings, *this->balancer,
                                                  [this] { return this->balancer->isServing(); });
    const auto opened = this->packets->open();
    if (!opened) {
        return logRefusedSetting(opened.error());
    }
    this->bound.packets = this->packets->bound();
    return true;
}

auto Daemon::post(Event event) -> void
{
    this->queue.push_back(std::move(event));
}

auto Daemon::tickIfDue() -> void
{
    const auto now = Loop::now().mono;
    if (now < this->nextTick) {
        return;
    }
    this->nextTick = now + config::tickPeriod;
    this->post(Tick {});
    if (this->packets != nullptr) {
        this->packets->tick(now);
    }
}

auto Daemon::handleQueuedEvents() -> void
{
    while (!this->queue.empty()) {
        auto event = std::move(this->queue.front());
        this->queue.pop_front();
        const auto &actions = this->balancer->handle(Loop::now(), std::move(event));
        for (const auto &action : actions) {
            this->act(action);
        }
    }
}

auto Daemon::act(const Action &action) -> void
{
    std::visit(
            Overloaded {
                    [this](const ConnectPeer &to) { this->peers->connect(to.host, to.address); },
                    [this](const ConnectSeed &to) { this->peers->connectSeed(to.address); },
                    [this](const DropPeer &from) { this->peers->drop(from.host); },
                    [this](const SendPeer &sent) { this->peers->send(sent.host, sent.message); },
                    [this](const SendPeers &sent) { this->peers->send(sent.hosts, sent.message); },
                    [this](const ReadDirectory &read) { this->directory->act(read); },
                    [this](const StopReadingDirectory &stop) { this->directory->act(stop); },
                    [](const Log &log) { writeLog(log.event, log.text); },
                    [this](const StopReady &ready) {
                        this->unfinished = ready.left;
                        this->exitDeadline = Loop::now().mono + flushTimeout;
                    },
                    [&](const auto & /*requestAction*/) {
                        if (this->requests != nullptr) {
                            this->requests->act(action);
                        }
                    },
            },
            action);
}

auto Daemon::requestStop() -> void
{
    if (std::exchange(this->stopping, true)) {
        return;
    }
    if (this->requests != nullptr) {
        this->requests->beginStop();
    }
    this->post(StopRequested {});
}

auto Daemon::applySettings(const Settings &read) -> void
{
    this->post(SeedsRead { read.init.seedAddresses });
    if (this->directory != nullptr) {
        this->directory->moveTo(read.platform);
    }
}

auto Daemon::hasEnded() const -> bool
{
    if (!this->unfinished) {
        return false;
    }
    const auto isIdle = this->requests == nullptr || this->requests->size() == 0;
    return isIdle || Loop::now().mono >= *this->exitDeadline;
}

} // namespace flamingograde::net
