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
    return one.isUnresponsive || other.isUnresponsive
           || this->network.faultBetween(one.place, other.place) == LinkFault::Silent;
}

auto PeerMesh::connect(HostId from, HostId to) -> void
{
    const auto pair = pairOf(from, to);
    const auto known = this->hosts.find(to);
    if (this->connections.count(pair) != 0 || known == this->hosts.end()) {
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
    this->connections[pair] = { ++this->lastNumber, std::nullopt };
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
    this->clock.later(last - this->clock.now(), [this, to = sent.host, number,
                                                 message = std::move(message)] {
        const auto open = this->connections.find(pairOf(message.from, to));
        const auto isSame = open != this->connections.end() && open->second.number == number;
        if (isSame && !this->isSilent(message.from, to)) {
            this->deliver(to, Duration(0), message);
        }
    });
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

auto PeerMesh::closeCutConnections() -> void
{
    std::vector<std::pair<Pair, PeerLoss>> ended;
    for (auto &[pair, connection] : this->connections) {
        const auto fault = this->network.faultBetween(this->hosts.at(pair.first).place,
                                                      this->hosts.at(pair.second).place);
        if (fault == LinkFault::Refuse) {
            ended.emplace_back(pair, PeerLoss::Closed);
            continue;
        }
        if (!this->isSilent(pair.first, pair.second)) {
            connection.silentSince.reset();
            continue;
        }
        connection.silentSince = connection.silentSince.value_or(this->clock.now());
        if (this->clock.now() - *connection.silentSince >= config::silenceTimeout) {
            ended.emplace_back(pair, PeerLoss::Silent);
        }
    }
    for (const auto &[pair, loss] : ended) {
        this->disconnect(pair, loss);
    }
}

} // namespace flamingograde::emulator
