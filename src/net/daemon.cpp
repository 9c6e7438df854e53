/// A host: the deciding library with everything that carries out its actions.
#include "net/daemon.h"

#include "core/overloaded.h"
#include "net/admin.h"
#include "net/hostlog.h"
#include "net/listener.h"
#include "net/metrics.h"

#include <flamingograde/config.h>

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace flamingograde::net {

namespace {

constexpr auto flushTime = std::chrono::seconds(2); ///< For answers being sent at the end.
constexpr auto exitFailure = 1;

/// Lets the process have as many descriptors as the system allows it.
auto raiseDescriptorLimit() -> void
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

Daemon::Daemon(Settings chosen)
    : settings(std::move(chosen)), signals(this->loop, [this] { this->requestStop(); }),
      client(this->loop, this->settings.source),
      platform(this->loop, this->client, this->settings.platform,
               [this](Event event) { this->post(std::move(event)); }),
      prober(this->client, [this](Event event) { this->post(std::move(event)); }),
      exchanges(this->loop, this->client, this->settings.init.self.name,
                [this](Event event) { this->post(std::move(event)); }),
      callers(this->loop, config::bodyBytesMax,
              [this](st_h2o_req_t *request, Address row) {
                  this->exchanges.takeCaller(request, row);
              }),
      relays(this->loop, config::bodyBytesMax,
             [this](st_h2o_req_t *request, Address /*tag*/) {
                 this->exchanges.takeRelay(request);
             }),
      operators(this->loop, config::peerMessageMax,
                [this](st_h2o_req_t *request, Address /*tag*/) { this->answerOperator(request); }),
      rows(this->loop, this->callers, this->settings.services)
{
    raiseDescriptorLimit();
}

Daemon::~Daemon() = default;

auto Daemon::answerOperator(st_h2o_req_t *request) -> void
{
    AdminSource source;
    source.metrics = [this] {
        return metricsText(this->balancer->stats(), this->peers->traffic());
    };
    source.dump = [this] { return this->balancer->dump(); };
    source.isServing = [this] { return this->isServing(); };
    source.drain = [this] { this->requestStop(); };
    source.explain = [this](Address address, const std::string &token, const std::string &key) {
        return this->balancer->explain(address, token, key);
    };
    answerAdmin(request, source);
}

auto Daemon::run() -> int
{
    if (!this->open()) {
        return exitFailure;
    }
    reportReady(this->settings.init.self.name, this->bound);
    this->nextTick = Loop::now().mono;
    while (!this->hasEnded()) {
        this->tickIfDue();
        // h2o reports on writes made outside of its run only in its next: no wait before that.
        const auto handled = this->handleQueued();
        const auto wait = handled ? Duration(0) : this->nextTick - Loop::now().mono;
        this->loop.turn(std::max(wait, Duration(0)));
    }
    reportStopped(*this->left);
    return 0;
}

auto Daemon::open() -> bool
{
    const auto opened = this->openServers() && this->openPeers();
    if (opened) {
        this->balancer = std::make_unique<Balancer>(this->settings.init);
    }
    return opened;
}

auto Daemon::openServers() -> bool
{
    const auto admin = this->operators.listen(this->settings.admin, this->settings.admin);
    const auto relay = this->relays.listen(this->settings.relay, this->settings.relay);
    for (const auto &opened : { admin, relay }) {
        if (!opened) {
            writeLog(LogEvent::SettingRefused, opened.error());
            return false;
        }
    }
    this->bound.admin = *admin;
    this->bound.relay = *relay;
    auto &self = this->settings.init.self;
    self.relay = self.relay.isValid() ? self.relay : *relay;
    return true;
}

auto Daemon::openPeers() -> bool
{
    auto listener =
            Listener::open(this->loop, this->settings.peer, [this](st_h2o_socket_t *connection) {
                this->peers->accept(connection);
            });
    if (!listener) {
        writeLog(LogEvent::SettingRefused, listener.error());
        return false;
    }
    this->peerListener = std::move(*listener);
    this->bound.peer = this->peerListener->bound();
    auto &self = this->settings.init.self;
    self.peer = self.peer.isValid() ? self.peer : this->bound.peer;
    self.incarnation = static_cast<std::uint64_t>(Loop::now().wall.time_since_epoch().count());
    this->peers = std::make_unique<PeerHub>(
            this->loop, self, this->settings.source,
            [this](Event event) { this->post(std::move(event)); }, &writeLog);
    return true;
}

auto Daemon::post(Event event) -> void
{
    this->queue.push_back(std::move(event));
}

auto Daemon::tickIfDue() -> void
{
    const auto now = Loop::now().mono;
    if (now >= this->nextTick) {
        this->nextTick = now + config::tickPeriod;
        this->post(Tick {});
    }
}

auto Daemon::handleQueued() -> bool
{
    const auto found = !this->queue.empty();
    while (!this->queue.empty()) {
        auto event = std::move(this->queue.front());
        this->queue.pop_front();
        const auto &actions = this->balancer->handle(Loop::now(), std::move(event));
        for (const auto &action : actions) {
            this->act(action);
        }
    }
    return found;
}

auto Daemon::act(const Action &action) -> void
{
    std::visit(Overloaded {
                       [this](const ProbeUpstream &probe) { this->prober.act(probe); },
                       [this](const ConnectPeer &to) { this->peers->connect(to.host, to.address); },
                       [this](const DropPeer &from) { this->peers->drop(from.host); },
                       [this](const SendPeer &sent) { this->peers->send(sent.host, sent.message); },
                       [this](const ReadTable &read) { this->platform.act(read); },
                       [this](const ReadHosts &read) { this->platform.act(read); },
                       [this](const Listen &listen) { this->rows.listen(listen.address); },
                       [this](const Unlisten &unlisten) { this->unlisten(unlisten.address); },
                       [](const Log &log) { writeLog(log.event, log.text); },
                       [this](const StopReady &ready) {
                           this->left = ready.left;
                           this->endBefore = Loop::now().mono + flushTime;
                       },
                       [this](const auto &ofExchange) { this->exchanges.act(ofExchange); },
               },
               action);
}

auto Daemon::unlisten(Address address) -> void
{
    this->rows.unlisten(address);
    if (this->stopping) {
        this->callers.shutdown();
    }
}

auto Daemon::requestStop() -> void
{
    if (!std::exchange(this->stopping, true)) {
        this->post(StopRequested {});
    }
}

auto Daemon::isServing() const -> bool
{
    return !this->stopping && this->balancer->stats().revision != 0;
}

auto Daemon::hasEnded() const -> bool
{
    if (!this->left) {
        return false;
    }
    return this->exchanges.size() == 0 || Loop::now().mono >= *this->endBefore;
}

} // namespace flamingograde::net
