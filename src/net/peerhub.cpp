/// Manages the connections to other hosts.
#include "net/peerhub.h"

#include "net/loop.h"
#include "net/peerendpoints.h"
#include "net/peerlink.h"
#include "wire/messagecodec.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace flamingograde::net {

namespace {

/// How long to wait for the replacement of a connection that the other host closed.
constexpr Duration replacementTimeout = std::chrono::milliseconds(200);

} // namespace

PeerHub::PeerHub(Loop &owner, Member member, Address sourceIp, Post report, LogCallback logger)
    : loop(owner), self(std::move(member)), source(sourceIp), post(std::move(report)),
      log(std::move(logger)), endpoints(std::make_unique<PeerEndpoints>())
{}

PeerHub::~PeerHub()
{
    this->links.clear();
}

auto PeerHub::addLink() -> PeerLink &
{
    const auto id = ++this->lastLink;
    return *this->links.emplace(id, std::make_unique<PeerLink>(*this, id)).first->second;
}

auto PeerHub::accept(st_h2o_socket_t *connection) -> void
{
    this->addLink().accept(connection);
}

auto PeerHub::connect(HostId host, Address address) -> void
{
    if (this->up.count(host) == 0) {
        this->dial(host, address);
    }
}

auto PeerHub::connectSeed(Address address) -> void
{
    // The host is unknown until its `Hello` arrives: an id derived from the address identifies it.
    const auto placeholder = HostId::ofName("seed " + address.toString());
    if (this->dialled.count(placeholder) != 0) {
        return;
    }
    auto &link = this->addLink();
    this->dialled.emplace(placeholder, link.linkId());
    link.dialSeed(placeholder, address);
}

auto PeerHub::dial(HostId host, Address address) -> void
{
    if (this->dialled.count(host) != 0) {
        return;
    }
    auto &link = this->addLink();
    this->dialled.emplace(host, link.linkId());
    link.dial(host, address);
}

auto PeerHub::dialReplacement(const PeerLink &link) -> void
{
    const auto &member = *link.peer();
    if (this->linkOf(member.id) == &link && this->dialled.count(member.id) == 0) {
        this->log(LogEvent::PeerSilent, "peer=" + member.name);
        this->dial(member.id, member.peer);
    }
}

auto PeerHub::drop(HostId host) -> void
{
    this->pendingReplacements.erase(host);
    for (auto *index : { &this->up, &this->dialled }) {
        const auto found = index->find(host);
        if (found != index->end()) {
            const auto link = found->second;
            index->erase(found);
            this->removeLink(link);
        }
    }
}

auto PeerHub::send(HostId host, const Message &message) -> void
{
    if (auto *link = this->linkOf(host)) {
        link->send(message);
    }
}

auto PeerHub::send(const std::vector<HostId> &hosts, const Message &message) -> void
{
    const auto bytes = encode(message);
    for (const auto host : hosts) {
        if (auto *link = this->linkOf(host)) {
            link->send(bytes);
        }
    }
}

auto PeerHub::linkOf(HostId host) -> PeerLink *
{
    const auto found = this->up.find(host);
    return found == this->up.end() ? nullptr : this->links.at(found->second).get();
}

auto PeerHub::removeLink(LinkId link) -> void
{
    // The socket may still deliver data until the link is destroyed.
    this->links.at(link)->abandon();
    this->loop.defer([this, link] { this->links.erase(link); });
}

auto PeerHub::prefersNew(const PeerLink &existing, const PeerLink &candidate) const -> bool
{
    if (existing.peer()->incarnation != candidate.peer()->incarnation) {
        return candidate.peer()->incarnation > existing.peer()->incarnation;
    }
    if (existing.dialler() == candidate.dialler() || existing.isSuspectedSilent()) {
        return true;
    }
    return candidate.dialler() == std::min(this->self.id, candidate.peer()->id);
}

auto PeerHub::helloReceived(PeerLink &link) -> void
{
    const auto host = link.peer()->id;
    const auto dialEntry = this->dialled.find(link.isToSeed() ? link.dialledHost() : host);
    if (dialEntry != this->dialled.end() && dialEntry->second == link.linkId()) {
        this->dialled.erase(dialEntry);
    }
    if (auto *existing = this->linkOf(host)) {
        this->resolveDuplicate(*existing, link);
        return;
    }
    this->up[host] = link.linkId();
    ++this->counters.connectionsOpened;
    const auto pending = this->pendingReplacements.find(host);
    const auto isSameProcess = pending != this->pendingReplacements.end()
                               && pending->second.incarnation == link.peer()->incarnation;
    this->pendingReplacements.erase(host);
    if (!isSameProcess) {
        this->log(LogEvent::PeerConnected, "peer=" + link.peer()->name);
        this->post(PeerUp { *link.peer() });
    }
}

auto PeerHub::resolveDuplicate(PeerLink &existing, PeerLink &candidate) -> void
{
    if (!this->prefersNew(existing, candidate)) {
        this->removeLink(candidate.linkId());
        return;
    }
    this->removeLink(existing.linkId());
    this->up[candidate.peer()->id] = candidate.linkId();
    if (existing.peer()->incarnation != candidate.peer()->incarnation) {
        this->post(PeerUp { *candidate.peer() });
    }
}

auto PeerHub::ended(PeerLink &link, PeerLoss loss) -> void
{
    this->removeLink(link.linkId());
    if (link.peer()) {
        this->endedAfterHello(link, loss);
    } else {
        this->endedBeforeHello(link, loss);
    }
}

auto PeerHub::endedAfterHello(const PeerLink &link, PeerLoss loss) -> void
{
    const auto &member = *link.peer();
    const auto found = this->up.find(member.id);
    if (found == this->up.end() || found->second != link.linkId()) {
        return; // Another connection has replaced this one.
    }
    this->up.erase(found);
    if (loss != PeerLoss::Closed || !this->mayBeConnecting(member.id)) {
        this->post(PeerDown { member.id, loss });
        return;
    }
    auto reportDown = [this, host = member.id] {
        this->pendingReplacements.erase(host);
        this->post(PeerDown { host, PeerLoss::Closed });
    };
    this->pendingReplacements[member.id] = { member.incarnation,
                                             this->loop.after(replacementTimeout, reportDown) };
}

auto PeerHub::endedBeforeHello(const PeerLink &link, PeerLoss loss) -> void
{
    const auto host = link.dialledHost();
    const auto found = this->dialled.find(host);
    if (found == this->dialled.end() || found->second != link.linkId()) {
        return; // The other host dialled this connection, or it is no longer the current dial.
    }
    this->dialled.erase(found);
    const auto *existing = this->linkOf(host);
    if (existing == nullptr) {
        if (this->pendingReplacements.count(host) == 0) {
            this->post(PeerDown { host, loss });
        }
        return;
    }
    if (loss == PeerLoss::Refused && existing->isSuspectedSilent()) {
        this->removeLink(existing->linkId());
        this->up.erase(host);
        this->post(PeerDown { host, loss });
    }
}

auto PeerHub::mayBeConnecting(HostId host) const -> bool
{
    return this->dialled.count(host) != 0
           || std::any_of(this->links.begin(), this->links.end(), [](const auto &entry) {
                  return !entry.second->peer() && !entry.second->dialledHost().isValid();
              });
}

} // namespace flamingograde::net
