/// Performs the actions of hosts in virtual time.
#include "virtualfleet.h"

#include "core/keys/idempotencykey.h"
#include "core/overloaded.h"

#include <algorithm>
#include <utility>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration oneWayDelay = 500us;
constexpr auto initialWallTime = WallTime(Duration(1'800'000'000s));

auto statusHead(int status, bool shed = false) -> AnswerHead
{
    AnswerHead head;
    head.status = status;
    head.shed = shed;
    head.retryAfter = shed ? Duration(1s) : Duration(0);
    return head;
}

} // namespace

VirtualFleet::VirtualFleet(const std::vector<std::pair<std::string, std::string>> &names,
                           std::string text, Policy policy)
    : table(std::move(text))
{
    this->clock = { MonoTime(Duration(100s)), initialWallTime };
    this->publishedAt[this->revision.number] = this->clock.mono;
    std::uint16_t port = 1;
    for (const auto &[name, zone] : names) {
        Init init;
        init.self.name = name;
        init.self.id = HostId::ofName(name);
        init.self.zoneName = zone;
        init.self.zone = ZoneId::ofName(zone);
        init.self.peer = { 0x0a000001, port };
        init.self.relay = { 0x0a000002, port };
        init.seed = port++;
        init.policy = policy;
        this->hosts.push_back({ init, init.self, std::make_unique<Balancer>(init), false, {} });
    }
}

auto VirtualFleet::advance(Duration duration) -> void
{
    const auto end = this->clock.mono + duration;
    while (this->clock.mono < end) {
        const auto tickAt = std::min(end, this->clock.mono + Duration(config::tickPeriod));
        while (!this->pending.empty() && this->pending.top().at <= tickAt) {
            const auto next = this->pending.top();
            this->pending.pop();
            this->clock.wall += next.at - this->clock.mono;
            this->clock.mono = next.at;
            next.run();
        }
        this->clock.wall += tickAt - this->clock.mono;
        this->clock.mono = tickAt;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            this->deliver(i, Tick {});
        }
    }
}

auto VirtualFleet::publish(std::string text) -> void
{
    this->table = std::move(text);
    ++this->revision.number;
    this->publishedAt[this->revision.number] = this->clock.mono;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        if (this->hostsWithoutPlatform.count(i) == 0 && this->hosts[i].watchedRevision) {
            this->hosts[i].watchedRevision.reset();
            this->sendTable(i);
        }
    }
}

auto VirtualFleet::sendTable(std::size_t host) -> void
{
    const TableFetched fetched { this->revision, this->table, this->publishedWallTime() };
    const auto delay = this->tableDelay(host, this->revision);
    if (delay <= oneWayDelay) {
        return this->deliver(host, fetched);
    }
    this->schedule(delay, [=] { this->deliver(host, fetched); });
}

auto VirtualFleet::publishedWallTime() const -> std::optional<WallTime>
{
    const auto found = this->publishedAt.find(this->revision.number);
    if (!this->reportsPublishTime || found == this->publishedAt.end()) {
        return std::nullopt;
    }
    const auto exactTime = this->clock.wall - (this->clock.mono - found->second);
    return std::chrono::floor<std::chrono::seconds>(exactTime);
}

auto VirtualFleet::tableDelay(std::size_t host, Revision of) const -> Duration
{
    const auto lag = this->tableLag.find(host);
    const auto published = this->publishedAt.find(of.number);
    if (lag == this->tableLag.end() || published == this->publishedAt.end()) {
        return oneWayDelay;
    }
    return std::max(oneWayDelay, published->second + lag->second - this->clock.mono);
}

auto VirtualFleet::deliver(std::size_t host, Event event) -> void
{
    if (this->hosts[host].dead) {
        return;
    }
    if (this->hosts[host].paused) {
        this->hosts[host].backlog.push_back([this, host, event] { this->deliver(host, event); });
        return;
    }
    auto hostNow = this->clock;
    hostNow.wall += this->skews[host];
    const auto actions = this->hosts[host].balancer->handle(hostNow, std::move(event));
    for (const auto &action : actions) {
        this->perform(host, action);
    }
}

auto VirtualFleet::call(std::size_t host, const std::string &address, const std::string &token,
                        const std::string &key, Duration timeout) -> ExchangeId
{
    const ExchangeId id(++this->lastExchange);
    this->results[id] = {};
    CallerArrived arrived;
    arrived.exchange = id;
    arrived.address = *Address::parse(address);
    arrived.token = token;
    arrived.key = key;
    arrived.timeout = timeout;
    this->deliver(host, arrived);
    return id;
}

auto VirtualFleet::kill(std::size_t host) -> void
{
    this->hosts[host].dead = true;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        this->deliver(i, PeerDown { this->hosts[host].member.id, PeerLoss::Closed });
    }
    for (const auto &[exchange, sender] : this->relaySenders) {
        if (sender.home == host) {
            this->schedule(oneWayDelay, [this, to = sender] {
                this->progress(to.host, to.exchange, to.attempt, Progress::Lost);
            });
        }
    }
}

auto VirtualFleet::restart(std::size_t host) -> void
{
    auto &restarted = this->hosts[host];
    ++restarted.init.seed;
    restarted.balancer = std::make_unique<Balancer>(restarted.init);
    restarted.dead = false;
    restarted.watchedRevision.reset();
    this->stopped.erase(host);
}

auto VirtualFleet::resume(std::size_t host) -> void
{
    this->hosts[host].paused = false;
    for (const auto &run : std::exchange(this->hosts[host].backlog, {})) {
        run();
    }
}

auto VirtualFleet::cutFeed(ExchangeId feed) -> void
{
    const auto host = this->feeds.at(feed).host;
    this->progress(host, feed, this->attempts.at(feed), Progress::Cut);
}

auto VirtualFleet::result(ExchangeId exchange) const -> CallerResult
{
    const auto found = this->results.find(exchange);
    return found == this->results.end() ? CallerResult {} : found->second;
}

auto VirtualFleet::newKey() -> std::string
{
    std::mt19937_64 random(++this->lastKeySeed);
    return makeUuidV7(random, this->clock.wall);
}

auto VirtualFleet::runsOf(const std::string &key) const -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(this->runs.begin(), this->runs.end(),
                          [&](const UpstreamRun &run) { return run.key == key; }));
}

auto VirtualFleet::schedule(Duration delay, std::function<void()> run) -> void
{
    this->pending.push({ this->clock.mono + delay, ++this->sequence, std::move(run) });
}

auto VirtualFleet::indexOf(HostId id) const -> std::size_t
{
    const auto found = std::find_if(this->hosts.begin(), this->hosts.end(),
                                    [&](const Host &host) { return host.member.id == id; });
    return static_cast<std::size_t>(found - this->hosts.begin());
}

auto VirtualFleet::isDisconnected(std::size_t a, std::size_t b) const -> bool
{
    const auto isPartitioned = this->partitionedHosts.count(a) != this->partitionedHosts.count(b);
    return this->hosts[b].dead || isPartitioned || this->isolatedHosts.count(a) > 0
           || this->isolatedHosts.count(b) > 0;
}

auto VirtualFleet::progress(std::size_t host, ExchangeId exchange, std::uint32_t attempt,
                            Progress progress, std::optional<AnswerHead> head, bool keepAnswer)
        -> void
{
    if (this->hosts[host].paused) {
        this->hosts[host].backlog.push_back(
                [=] { this->progress(host, exchange, attempt, progress, head, keepAnswer); });
        return;
    }
    ExchangeProgress event;
    event.exchange = exchange;
    event.attempt = attempt;
    event.progress = progress;
    event.head = head;
    if (keepAnswer) {
        event.whole = std::make_shared<const std::string>("kept");
    }
    this->deliver(host, event);
    const auto isFinal = progress == Progress::Answered || progress == Progress::Cut;
    if (!isFinal || this->hosts[host].dead || this->notifySender(exchange, progress)) {
        return;
    }
    const auto &result = this->results[exchange];
    if (progress == Progress::Answered && result.gotHead && result.ends == 0) {
        this->recordEnd(exchange).answered = true;
        this->feeds.erase(exchange);
    }
}

auto VirtualFleet::notifySender(ExchangeId exchange, Progress progress,
                                std::optional<AnswerHead> head) -> bool
{
    const auto *sender = this->relaySenderOf(exchange);
    if (sender == nullptr) {
        return false;
    }
    if (!this->isDisconnected(sender->home, sender->host)) {
        this->progress(sender->host, sender->exchange, sender->attempt, progress, head);
    }
    return true;
}

auto VirtualFleet::recordEnd(ExchangeId exchange) -> CallerResult &
{
    auto &result = this->results[exchange];
    ++result.ends;
    result.at = this->clock.mono;
    return result;
}

auto VirtualFleet::perform(std::size_t host, const Action &action) -> void
{
    std::visit(
            Overloaded {
                    [&](const Dispatch &it) { this->on(host, it); },
                    [&](const Relay &it) { this->on(host, it); },
                    [&](const OpenFeed &it) { this->on(host, it); },
                    [&](const ConnectPeer &it) { this->on(host, it); },
                    [&](const SendPeer &it) { this->on(host, it); },
                    [&](const ReadTable &it) { this->on(host, it); },
                    [&](const PassAnswer &it) { this->onPassAnswer(host, it); },
                    [&](const Refuse &it) { this->onRefuse(host, it); },
                    [&](const ReplayAnswer &it) {
                        if (this->notifySender(it.exchange, Progress::Answering, statusHead(200))) {
                            this->notifySender(it.exchange, Progress::Answered);
                            return;
                        }
                        this->recordEnd(it.exchange).replayed = true;
                    },
                    [&](const AbortAnswer &it) {
                        if (!this->notifySender(it.exchange, Progress::Cut)) {
                            this->recordEnd(it.exchange).aborted = true;
                        }
                    },
                    [&](const EndFeed &it) {
                        this->schedule(oneWayDelay, [this, host, id = it.exchange] {
                            this->progress(host, id, this->attempts[id], Progress::Answered);
                        });
                    },
                    [&](const ReadHosts &) {
                        if (this->hostsWithoutPlatform.count(host) > 0) {
                            return;
                        }
                        HostsFetched fetched;
                        for (const auto &other : this->hosts) {
                            fetched.hosts.push_back(other.member);
                        }
                        this->schedule(oneWayDelay,
                                       [this, host, fetched] { this->deliver(host, fetched); });
                    },
                    [&](const Unlisten &it) {
                        this->closedListeners.emplace_back(host, it.address);
                    },
                    [&](const StopReady &it) { this->stopped[host] = it.left; },
                    [](const auto &) {},
            },
            action);
}

auto VirtualFleet::on(std::size_t host, const Dispatch &action) -> void
{
    const auto report = [=](Duration delay, Progress progress,
                            std::optional<AnswerHead> head = {}) {
        this->schedule(delay, [=] {
            this->progress(host, action.exchange, action.attempt, progress, head,
                           progress == Progress::Answered && action.keepAnswer);
        });
    };
    const auto behaviour = this->behaviour(action.upstream);
    if (behaviour == Behaviour::Refuse) {
        return report(oneWayDelay, Progress::NotSent);
    }
    if (behaviour == Behaviour::Shed) {
        return report(oneWayDelay, Progress::Answering, statusHead(503, true));
    }
    if (behaviour == Behaviour::Misdirect) {
        return report(oneWayDelay, Progress::Answering, statusHead(421));
    }
    if (behaviour == Behaviour::GatewayTimeout) {
        return report(oneWayDelay, Progress::Answering, statusHead(504));
    }
    this->runs.push_back({ action.upstream, action.key, action.service, action.exchange, host });
    if (behaviour == Behaviour::LoseConnection) {
        return report(oneWayDelay, Progress::Lost);
    }
    if (behaviour == Behaviour::Hold) {
        return;
    }
    report(this->serviceTime, Progress::Answering, statusHead(200));
    report(this->serviceTime + 1ms,
           behaviour == Behaviour::Truncate ? Progress::Cut : Progress::Answered);
}

auto VirtualFleet::on(std::size_t host, const Relay &action) -> void
{
    const auto to = this->indexOf(action.host);
    if (this->isDisconnected(host, to)) {
        return this->schedule(oneWayDelay, [=] {
            this->progress(host, action.exchange, action.attempt, Progress::NotSent);
        });
    }
    const ExchangeId id(++this->lastExchange);
    this->relaySenders[id] = { host, action.exchange, action.attempt, to };
    RelayArrived arrived;
    arrived.exchange = id;
    arrived.from = this->hosts[host].member.id;
    arrived.row = action.row;
    arrived.address = action.rowAddress;
    arrived.upstream = action.upstream;
    arrived.key = action.key;
    arrived.remaining = action.remaining;
    this->schedule(oneWayDelay, [=] { this->deliver(to, arrived); });
}

auto VirtualFleet::on(std::size_t host, const OpenFeed &action) -> void
{
    const UpstreamRun run { action.upstream, {}, action.service, action.exchange, host };
    this->attempts[action.exchange] = action.attempt;
    const auto behaviour = this->behaviour(action.upstream);
    this->schedule(oneWayDelay, [=] {
        if (behaviour == Behaviour::Answer) {
            this->opened.push_back(run);
            this->feeds[action.exchange] = run;
            this->progress(host, action.exchange, action.attempt, Progress::Answering,
                           statusHead(200));
        } else if (behaviour == Behaviour::Shed) {
            this->progress(host, action.exchange, action.attempt, Progress::Answering,
                           statusHead(503, true));
        } else {
            this->progress(host, action.exchange, action.attempt, Progress::NotSent);
        }
    });
}

auto VirtualFleet::on(std::size_t host, const ConnectPeer &action) -> void
{
    const auto to = this->indexOf(action.host);
    this->schedule(oneWayDelay, [=] {
        if (this->isDisconnected(host, to)) {
            const auto loss = this->hosts[to].dead ? PeerLoss::Refused : PeerLoss::Silent;
            return this->deliver(host, PeerDown { action.host, loss });
        }
        this->deliver(host, PeerUp { this->hosts[to].member });
        this->deliver(to, PeerUp { this->hosts[host].member });
    });
}

auto VirtualFleet::on(std::size_t host, const SendPeer &action) -> void
{
    const auto to = this->indexOf(action.host);
    if (this->isDisconnected(host, to)) {
        return;
    }
    const auto *body = std::get_if<TableBody>(&action.message);
    const auto delay = body == nullptr ? oneWayDelay : this->tableDelay(to, body->revision);
    this->schedule(delay, [=] {
        this->deliver(to, PeerMessage { this->hosts[host].member.id, action.message });
    });
}

auto VirtualFleet::on(std::size_t host, const ReadTable &action) -> void
{
    if (this->hostsWithoutPlatform.count(host) > 0) {
        return this->schedule(oneWayDelay, [=] {
            this->deliver(host, PlatformFailed { PlatformRead::Table, "platform unreachable" });
        });
    }
    if (action.after == this->revision && action.wait > Duration::zero()) {
        this->hosts[host].watchedRevision = action.after;
        return;
    }
    this->schedule(oneWayDelay, [=] {
        if (action.after == this->revision) {
            return this->deliver(host, TableUnchanged { this->revision });
        }
        this->sendTable(host);
    });
}

auto VirtualFleet::onPassAnswer(std::size_t, const PassAnswer &action) -> void
{
    const auto *sender = this->relaySenderOf(action.exchange);
    if (sender == nullptr) {
        this->results[action.exchange].gotHead = true;
        if (!action.setToken.empty()) {
            this->results[action.exchange].token = action.setToken;
        }
        return;
    }
    if (!action.setToken.empty()) {
        this->results[sender->exchange].token = action.setToken;
    }
    this->notifySender(action.exchange, Progress::Answering, statusHead(200));
}

auto VirtualFleet::onRefuse(std::size_t, const Refuse &action) -> void
{
    if (this->relaySenderOf(action.exchange) == nullptr) {
        this->recordEnd(action.exchange).refusal = action.refusal;
        return;
    }
    AnswerHead head;
    head.refusal = true;
    head.reason = action.refusal.reason;
    head.verdict = action.refusal.verdict;
    head.retryAfter = action.refusal.retryAfter;
    this->schedule(oneWayDelay, [this, id = action.exchange, head] {
        this->notifySender(id, Progress::Answering, head);
    });
}

auto VirtualFleet::relaySenderOf(ExchangeId exchange) const -> const RelaySender *
{
    const auto found = this->relaySenders.find(exchange);
    return found == this->relaySenders.end() ? nullptr : &found->second;
}

} // namespace flamingograde
