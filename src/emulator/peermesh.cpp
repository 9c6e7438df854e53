/// Emulated peer connections between hosts.
#include "emulator/peermesh.h"

#include "emulator/virtualclock.h"
#include "wire/messagecodec.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

namespace flamingograde::emulator {

namespace {

using namespace std::chrono_literals;

/// Period in which real hosts probe a connection that is silent.
constexpr Duration linkProbePeriod = 500ms;

} // namespace

auto PeerMesh::pairOf(HostId a, HostId b) -> Pair
{
    return a < b ? Pair { a, b } : Pair { b, a };
}

auto PeerMesh::deliver(HostId host, Duration delay, Event event) -> void
{
    this->clock.later(delay, [this, host, event = std::move(event)] {
        const auto &entry = this->hosts.at(host);
        if (entry.isListening) {
            entry.give(event);
        }
    });
}

auto PeerMesh::isSilent(HostId a, HostId b) const -> bool
{
    const auto &one = this->hosts.at(a);
    const auto &other = this->hosts.at(b);
    return one.isFrozen || other.isFrozen || one.isDark || other.isDark || this->isCut(a, b);
}

auto PeerMesh::isCut(HostId a, HostId b) const -> bool
{
    return this->network.faultBetween(this->hosts.at(a).place, this->hosts.at(b).place)
           == LinkFault::Silent;
}

auto PeerMesh::bootsOf(Pair pair) const -> std::pair<std::uint64_t, std::uint64_t>
{
    return { this->hosts.at(pair.first).boots, this->hosts.at(pair.second).boots };
}

auto PeerMesh::isGone(Pair pair, const Connection &connection) const -> bool
{
    return connection.boots != this->bootsOf(pair);
}

auto PeerMesh::connect(HostId from, HostId to) -> void
{
    const auto pair = pairOf(from, to);
    const auto known = this->hosts.find(to);
    const auto existing = this->connections.find(pair);
    const auto isConnected =
            existing != this->connections.end() && !this->isGone(pair, existing->second);
    if (isConnected || known == this->hosts.end()) {
        return;
    }
    const auto &one = this->hosts.at(from);
    const auto delay = this->network.delayBetween(one.place, known->second.place);
    if (this->isSilent(from, to)) {
        this->clock.later(config::connectTimeout, [this, from, to, pair] {
            if (this->connections.count(pair) == 0) {
                this->deliver(from, Duration(0), PeerDown { to, PeerLoss::Silent });
            }
        });
        return;
    }
    const auto fault = this->network.faultBetween(one.place, known->second.place);
    if (!known->second.isListening || fault == LinkFault::Refuse) {
        this->deliver(from, 2 * delay, PeerDown { to, PeerLoss::Refused });
        return;
    }
    Connection connection;
    connection.number = ++this->lastNumber;
    connection.boots = this->bootsOf(pair);
    this->connections[pair] = std::move(connection);
    this->deliver(from, 2 * delay, PeerUp { known->second.member });
    this->deliver(to, delay, PeerUp { one.member });
}

auto PeerMesh::connectSeed(HostId from, Address address) -> void
{
    for (const auto &[host, entry] : this->hosts) {
        if (entry.member.peer == address && host != from) {
            this->connect(from, host);
            return;
        }
    }
}

auto PeerMesh::send(HostId from, const SendPeer &sent) -> void
{
    const auto connection = this->connections.find(pairOf(from, sent.host));
    if (connection == this->connections.end()) {
        return;
    }
    const auto bytes = encode(sent.message);
    auto received = decode(bytes);
    if (!received) {
        throw std::logic_error("a host sent an undecodable message: " + received.error());
    }
    const auto &one = this->hosts.at(from);
    const auto &other = this->hosts.at(sent.host);
    ++this->messages;
    this->bytesSent[from] += bytes.size();
    this->bytesBetweenZones += one.place.zone != other.place.zone ? bytes.size() : 0;
    const auto delay = this->network.delayBetween(one.place, other.place);
    auto &last = this->lastArrival[{ from, sent.host }];
    last = std::max(last + 1us, this->clock.now() + delay);
    const auto number = connection->second.number;
    PeerMessage message { from, std::move(*received) };
    this->clock.later(last - this->clock.now(),
                      [this, to = sent.host, number, message = std::move(message)]() mutable {
                          this->arrive(to, number, std::move(message));
                      });
}

auto PeerMesh::arrive(HostId to, std::uint64_t number, PeerMessage message) -> void
{
    const auto from = message.from;
    const auto pair = pairOf(from, to);
    const auto open = this->connections.find(pair);
    if (open == this->connections.end() || open->second.number != number
        || this->hosts.at(to).isDark) {
        return;
    }
    if (this->isGone(pair, open->second)) {
        this->resetGone(pair);
    } else if (this->isCut(from, to) || !open->second.delayed.empty()) {
        open->second.delayed.emplace_back(to, std::move(message));
    } else {
        this->deliver(to, Duration(0), std::move(message));
    }
}

auto PeerMesh::deliverDelayed(Connection &connection) -> void
{
    for (auto &[to, message] : std::exchange(connection.delayed, {})) {
        this->deliver(to, Duration(0), std::move(message));
    }
}

auto PeerMesh::resetGone(Pair pair) -> void
{
    const auto found = this->connections.find(pair);
    const auto boots = this->bootsOf(pair);
    const auto known = found->second.boots;
    this->connections.erase(found);
    if (known.first == boots.first) {
        this->deliver(pair.first, Duration(0), PeerDown { pair.second, PeerLoss::Closed });
    }
    if (known.second == boots.second) {
        this->deliver(pair.second, Duration(0), PeerDown { pair.first, PeerLoss::Closed });
    }
}

auto PeerMesh::drop(HostId from, HostId to) -> void
{
    if (this->connections.erase(pairOf(from, to)) == 0) {
        return;
    }
    const auto delay =
            this->network.delayBetween(this->hosts.at(from).place, this->hosts.at(to).place);
    this->deliver(to, delay, PeerDown { from, PeerLoss::Closed });
}

auto PeerMesh::disconnect(Pair pair, PeerLoss loss) -> void
{
    if (this->connections.erase(pair) == 0) {
        return;
    }
    const auto delay = this->network.delayBetween(this->hosts.at(pair.first).place,
                                                  this->hosts.at(pair.second).place);
    this->deliver(pair.first, delay, PeerDown { pair.second, loss });
    this->deliver(pair.second, delay, PeerDown { pair.first, loss });
}

auto PeerMesh::end(HostId host, PeerLoss loss) -> void
{
    std::vector<Pair> ended;
    for (const auto &[pair, connection] : this->connections) {
        if (pair.first == host || pair.second == host) {
            ended.push_back(pair);
        }
    }
    for (const auto &pair : ended) {
        this->disconnect(pair, loss);
    }
}

auto PeerMesh::checkConnections() -> void
{
    std::vector<std::pair<Pair, PeerLoss>> ended;
    std::vector<Pair> gone;
    const auto now = this->clock.now();
    for (auto &[pair, connection] : this->connections) {
        const auto fault = this->network.faultBetween(this->hosts.at(pair.first).place,
                                                      this->hosts.at(pair.second).place);
        if (fault == LinkFault::Refuse) {
            ended.emplace_back(pair, PeerLoss::Closed);
            continue;
        }
        const auto isSilent = this->isSilent(pair.first, pair.second);
        if (!isSilent && this->isGone(pair, connection)) {
            connection.goneSince = connection.goneSince.value_or(now);
            if (now - *connection.goneSince >= linkProbePeriod) {
                gone.push_back(pair);
            }
            continue;
        }
        if (!this->isCut(pair.first, pair.second)) {
            this->deliverDelayed(connection);
        }
        if (!isSilent) {
            connection.silentSince.reset();
            continue;
        }
        connection.silentSince = connection.silentSince.value_or(now);
        if (now - *connection.silentSince >= config::silenceTimeout) {
            ended.emplace_back(pair, PeerLoss::Silent);
        }
    }
    for (const auto &pair : gone) {
        this->resetGone(pair);
    }
    for (const auto &[pair, loss] : ended) {
        this->disconnect(pair, loss);
    }
}

} // namespace flamingograde::emulator
