/// Simulates the links between hosts, and the platform.
#include "peerfleet.h"

#include "core/overloaded.h"
#include "wire/messagecodec.h"

#include <algorithm>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

constexpr Duration minDelay = 300us;
constexpr Duration maxDelay = 900us;
constexpr auto wallStart = 1'764'700'000s;
constexpr Duration maxClockSkew = 500ms;

} // namespace

auto PeerFleet::add(const std::string &name, const std::string &zone, bool seeded) -> void
{
    auto &node = this->nodes[name];
    auto &self = node.init.self;
    self.name = name;
    self.id = HostId::ofName(name);
    self.zoneName = zone;
    self.zone = ZoneId::ofName(zone);
    self.peer = { 0x7f000001, static_cast<std::uint16_t>(7000 + this->nodes.size()) };
    self.relay = { 0x7f000001, static_cast<std::uint16_t>(8000 + this->nodes.size()) };
    node.init.seed = this->random();
    node.clockSkew = Duration(static_cast<Duration::rep>(this->random() % maxClockSkew.count()));
    if (seeded) {
        for (const auto &[other, known] : this->nodes) {
            if (other != name) {
                node.init.seeds.push_back(known.init.self);
            }
        }
    }
    this->start(name);
}

auto PeerFleet::start(const std::string &name) -> void
{
    auto &node = this->nodes.at(name);
    node.running = true;
    node.frozen = false;
    node.leaving = false;
    node.revision = 0;
    node.pendingTableRead.reset();
    node.queuedEvents.clear();
    node.listedSince = this->now + this->listLag;
    node.board = std::make_unique<Blackboard>(node.init);
    node.config = std::make_unique<ConfigController>();
    node.membership = std::make_unique<MembershipController>();
    node.tenure = std::make_unique<TenureController>();
    this->tick(name, ++node.startCount);
}

auto PeerFleet::kill(const std::string &name) -> void
{
    this->nodes.at(name).running = false;
    for (const auto &[pair, number] : std::map<Pair, std::uint64_t>(this->connections)) {
        if (pair.first == name || pair.second == name) {
            this->disconnect(pair, PeerLoss::Closed);
        }
    }
}

auto PeerFleet::freeze(const std::string &name) -> void
{
    this->nodes.at(name).frozen = true;
}

auto PeerFleet::wake(const std::string &name) -> void
{
    auto &node = this->nodes.at(name);
    node.frozen = false;
    const auto queuedEvents = std::move(node.queuedEvents);
    node.queuedEvents.clear();
    for (const auto &event : queuedEvents) {
        this->deliver(name, event);
    }
}

auto PeerFleet::leave(const std::string &name) -> void
{
    this->nodes.at(name).leaving = true;
    this->deliver(name, StopRequested {});
}

auto PeerFleet::fault(const std::set<std::string> &a, const std::set<std::string> &b,
                      LinkFault kind) -> void
{
    for (const auto &one : a) {
        for (const auto &other : b) {
            const auto pair = pairOf(one, other);
            if (one == other) {
                continue;
            }
            this->linkFaults[pair] = kind;
            if (kind == LinkFault::Refuse) {
                this->disconnect(pair, PeerLoss::Closed);
                continue;
            }
            this->schedule(config::silenceTimeout, [this, pair] {
                if (this->linkFaults.count(pair) != 0) {
                    this->disconnect(pair, PeerLoss::Silent);
                }
            });
        }
    }
}

auto PeerFleet::heal() -> void
{
    this->linkFaults.clear();
}

auto PeerFleet::run(Duration duration) -> void
{
    this->runUntil([] { return false; }, duration);
}

auto PeerFleet::runUntil(const std::function<bool()> &done, Duration limit)
        -> std::optional<Duration>
{
    const auto begin = this->now;
    while (!this->pending.empty() && this->pending.top().at <= begin + limit) {
        if (done()) {
            return this->now - begin;
        }
        const auto next = this->pending.top();
        this->pending.pop();
        this->now = next.at;
        next.run();
    }
    this->now = begin + limit;
    return std::nullopt;
}

auto PeerFleet::publish(std::uint64_t number, const std::string &row) -> void
{
    this->revision = number;
    this->text = "[[token_key]]\nid = 1\nsecret = \"00112233445566778899aabbccddeeff\"\n"
                 "signing = true\n[[row]]\nname = \""
                 + row + "\"\nservice = \"pack\"\naddress = \"10.9.0.2:80\"\nkind = \"request\"\n";
    int last = 0;
    for (const auto &zone : this->zones) {
        this->text += "[[upstream]]\nname = \"up-" + zone + "\"\nservice = \"pack\"\nzone = \""
                      + zone + "\"\naddress = \"10.1.0." + std::to_string(++last) + ":80\"\n";
    }
    for (const auto &[name, node] : this->nodes) {
        this->answerTableRead(name);
    }
}

auto PeerFleet::serve(const std::string &name, std::uint64_t number, const std::string &body)
        -> void
{
    this->nodes.at(name).tableOverride = { number, body };
    this->answerTableRead(name);
}

auto PeerFleet::homes(const std::string &zone) const -> std::vector<std::string>
{
    const auto cell = cellOf(ServiceId::ofName("pack"), ZoneId::ofName(zone));
    std::vector<std::string> found;
    for (const auto &[name, node] : this->nodes) {
        if (node.running && !node.frozen && node.board->tenure.since(cell)) {
            found.push_back(name);
        }
    }
    return found;
}

auto PeerFleet::hasOneHomePerZone() const -> bool
{
    for (const auto &[name, node] : this->nodes) {
        if (node.running && !node.frozen && this->homes(node.init.self.zoneName).size() != 1) {
            return false;
        }
    }
    return true;
}

auto PeerFleet::haveRevision(std::uint64_t number) const -> bool
{
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &entry) {
        const auto &node = entry.second;
        return !node.running || node.frozen || node.board->config.revision.number == number;
    });
}

auto PeerFleet::stateAt(const std::string &at, const std::string &of) -> MemberState
{
    const auto *member = this->board(at).membership.find(HostId::ofName(of));
    return member == nullptr ? MemberState::Dead : member->state;
}

auto PeerFleet::names() const -> std::vector<std::string>
{
    std::vector<std::string> result;
    for (const auto &[name, node] : this->nodes) {
        result.push_back(name);
    }
    return result;
}

auto PeerFleet::schedule(Duration wait, std::function<void()> run) -> void
{
    this->pending.push({ this->now + wait, ++this->order, std::move(run) });
}

auto PeerFleet::delay() -> Duration
{
    const auto range = static_cast<std::uint64_t>((maxDelay - minDelay).count());
    return minDelay + Duration(static_cast<Duration::rep>(this->random() % range));
}

auto PeerFleet::tick(const std::string &name, std::uint64_t startCount) -> void
{
    const auto &node = this->nodes.at(name);
    if (!node.running || node.startCount != startCount) {
        return;
    }
    if (!node.frozen) {
        this->deliver(name, Tick {});
    }
    const auto jitter = Duration(static_cast<Duration::rep>(this->random() % 2000));
    this->schedule(Duration(config::tickPeriod) + jitter, [=] { this->tick(name, startCount); });
}

auto PeerFleet::deliver(const std::string &name, Event event) -> void
{
    auto &node = this->nodes.at(name);
    if (!node.running) {
        return;
    }
    if (node.frozen) {
        node.queuedEvents.push_back(std::move(event));
        return;
    }
    auto &board = *node.board;
    board.now = { this->now, WallTime(wallStart + this->now.time_since_epoch() + node.clockSkew) };
    board.outbox.clear();
    node.config->handle(board, event);
    node.membership->handle(board, event);
    node.tenure->handle(board, event);
    const auto actions = std::move(board.outbox);
    this->check(name);
    for (const auto &action : actions) {
        this->perform(name, action);
    }
}

auto PeerFleet::perform(const std::string &name, const Action &action) -> void
{
    std::visit(
            Overloaded { [&](const ConnectPeer &it) { this->connect(name, this->nameOf(it.host)); },
                         [&](const SendPeer &it) { this->send(name, it); },
                         [&](const ReadTable &it) { this->readTable(name, it); },
                         [&](const ReadHosts &) { this->readHosts(name); }, [](const auto &) {} },
            action);
}

auto PeerFleet::connect(const std::string &from, const std::string &to) -> void
{
    const auto pair = pairOf(from, to);
    if (this->connections.count(pair) != 0) {
        return;
    }
    const auto id = HostId::ofName(to);
    const auto linkFault = this->faultOn(from, to);
    const auto refused = !this->nodes.at(to).running || linkFault == LinkFault::Refuse;
    if (refused && linkFault != LinkFault::Silent) {
        this->schedule(this->delay(), [=] {
            this->deliver(from, PeerDown { id, PeerLoss::Refused });
        });
        return;
    }
    if (linkFault == LinkFault::Silent || this->nodes.at(to).frozen) {
        this->schedule(config::connectTimeout, [=] {
            if (this->connections.count(pair) == 0) {
                this->deliver(from, PeerDown { id, PeerLoss::Silent });
            }
        });
        return;
    }
    this->connections[pair] = ++this->lastConnection;
    for (const auto &[host, other] : { Pair { from, to }, Pair { to, from } }) {
        const auto &member = this->nodes.at(other).init.self;
        this->schedule(this->delay(),
                       [this, host = host, member] { this->deliver(host, PeerUp { member }); });
    }
}

auto PeerFleet::send(const std::string &from, const SendPeer &sent) -> void
{
    const auto to = this->nameOf(sent.host);
    const auto connection = this->connections.find(pairOf(from, to));
    if (connection == this->connections.end()) {
        return;
    }
    const auto bytes = encode(sent.message);
    this->bytesSent[from] += bytes.size();
    auto &last = this->lastDelivery[{ from, to }];
    last = std::max(last + 1us, this->now + this->delay());
    this->schedule(last - this->now, [=, number = connection->second] {
        const auto open = this->connections.find(pairOf(from, to));
        if (open == this->connections.end() || open->second != number || this->faultOn(from, to)) {
            return;
        }
        const auto message = decode(bytes);
        if (!message) {
            this->faults.push_back("undecodable message: " + message.error());
            return;
        }
        this->deliver(to, PeerMessage { HostId::ofName(from), *message });
    });
}

auto PeerFleet::disconnect(const Pair &pair, PeerLoss loss) -> void
{
    if (this->connections.erase(pair) == 0) {
        return;
    }
    for (const auto &[host, other] : { pair, Pair { pair.second, pair.first } }) {
        this->schedule(this->delay(), [this, host = host, id = HostId::ofName(other), loss] {
            this->deliver(host, PeerDown { id, loss });
        });
    }
}

auto PeerFleet::readTable(const std::string &name, const ReadTable &read) -> void
{
    ++this->platformCalls;
    if (this->platformDown.count(name) != 0) {
        this->schedule(this->delay(), [=] {
            this->deliver(name, PlatformFailed { PlatformRead::Table, "down" });
        });
        return;
    }
    auto &node = this->nodes.at(name);
    node.pendingTableRead = read.after;
    const auto number = ++node.tableReadNumber;
    this->answerTableRead(name);
    this->schedule(std::max(read.wait, this->delay()),
                   [this, name, number, startCount = node.startCount] {
                       auto &reader = this->nodes.at(name);
                       if (reader.pendingTableRead && reader.tableReadNumber == number
                           && reader.startCount == startCount) {
                           reader.pendingTableRead.reset();
                           this->deliver(name, TableUnchanged { Revision { this->revision } });
                       }
                   });
}

auto PeerFleet::answerTableRead(const std::string &name) -> void
{
    auto &node = this->nodes.at(name);
    const auto number = node.tableOverride ? node.tableOverride->first : this->revision;
    const auto body = node.tableOverride ? node.tableOverride->second : this->text;
    if (!node.pendingTableRead || node.pendingTableRead->number == number
        || this->platformDown.count(name) != 0) {
        return;
    }
    node.pendingTableRead.reset();
    this->schedule(this->delay(), [=] {
        this->deliver(name, TableFetched { Revision { number }, body });
    });
}

auto PeerFleet::readHosts(const std::string &name) -> void
{
    ++this->platformCalls;
    HostsFetched fetched;
    for (const auto &[other, node] : this->nodes) {
        if (this->now < node.listedSince) {
            continue;
        }
        fetched.hosts.push_back(node.init.self);
        if (node.leaving) {
            fetched.hosts.back().state = MemberState::Leaving;
        }
    }
    this->schedule(this->delay(), [=] {
        if (this->platformDown.count(name) != 0) {
            this->deliver(name, PlatformFailed { PlatformRead::Hosts, "down" });
        } else {
            this->deliver(name, fetched);
        }
    });
}

auto PeerFleet::check(const std::string &name) -> void
{
    auto &node = this->nodes.at(name);
    for (const auto &[cell, tenure] : node.board->tenure.all()) {
        for (const auto &[other, otherNode] : this->nodes) {
            if (other != name && otherNode.running && !otherNode.frozen
                && otherNode.board->tenure.since(cell)) {
                this->faults.push_back("two homes of a cell: " + name + " and " + other + " at "
                                       + std::to_string(this->now.time_since_epoch().count()));
            }
        }
    }
    const auto number = node.board->config.revision.number;
    if (number < node.revision) {
        this->faults.push_back("revision of " + name + " decreased");
    }
    node.revision = number;
}

auto PeerFleet::nameOf(HostId id) const -> std::string
{
    for (const auto &[name, node] : this->nodes) {
        if (node.init.self.id == id) {
            return name;
        }
    }
    return {};
}

auto PeerFleet::faultOn(const std::string &a, const std::string &b) const
        -> std::optional<LinkFault>
{
    const auto found = this->linkFaults.find(pairOf(a, b));
    return found == this->linkFaults.end() ? std::nullopt : std::make_optional(found->second);
}

auto PeerFleet::pairOf(const std::string &a, const std::string &b) -> Pair
{
    return a < b ? Pair { a, b } : Pair { b, a };
}

} // namespace flamingograde
