/// The connections with other hosts.
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

/// How long a connection that the other host closed is waited for, while another is coming.
constexpr Duration awaitTime = std::chrono::milliseconds(200);

} // namespace

PeerHub::PeerHub(Loop &owner, Member member, Address sourceIp, Post report, LogText logger)
    : loop(owner), self(std::move(member)), source(sourceIp), post(std::move(report)),
      log(std::move(logger)), endpoints(std::make_unique<PeerEndpoints>())
{}

PeerHub::~PeerHub()
{
    this->links.clear();
}

auto PeerHub::add() -> PeerLink &
{
    const auto id = ++this->lastLink;
    return *this->links.emplace(id, std::make_unique<PeerLink>(*this, id)).first->second;
}

auto PeerHub::accept(st_h2o_socket_t *connection) -> void
{
    this->add().accept(connection);
}

auto PeerHub::connect(HostId host, Address address) -> void
{
    if (this->up.count(host) == 0) {
        this->dial(host, address);
    }
}

auto PeerHub::connectSeed(Address address) -> void
{
    // The host's name is not known: until it says so the address stands for it.
    const auto standIn = HostId::ofName("seed " + address.toString());
    if (this->dialled.count(standIn) != 0) {
        return;
    }
    auto &link = this->add();
    this->dialled.emplace(standIn, link.linkId());
    link.dialSeed(standIn, address);
}

auto PeerHub::dial(HostId host, Address address) -> void
{
    if (this->dialled.count(host) != 0) {
        return;
    }
    auto &link = this->add();
    this->dialled.emplace(host, link.linkId());
    link.dial(host, address);
}

auto PeerHub::replace(const PeerLink &link) -> void
{
    const auto &member = *link.peer();
    if (this->linkOf(member.id) == &link && this->dialled.count(member.id) == 0) {
        this->log(LogEvent::PeerSilent, "peer=" + member.name);
        this->dial(member.id, member.peer);
    }
}

auto PeerHub::drop(HostId host) -> void
{
    this->awaited.erase(host);
    for (auto *index : { &this->up, &this->dialled }) {
        const auto found = index->find(host);
        if (found != index->end()) {
            const auto link = found->second;
            index->erase(found);
            this->remove(link);
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

auto PeerHub::remove(LinkId link) -> void
{
    // Until it is destroyed it may still be read from.
    this->links.at(link)->abandon();
    this->loop.defer([this, link] { this->links.erase(link); });
}

auto PeerHub::keepsNew(const PeerLink &present, const PeerLink &coming) const -> bool
{
    if (present.peer()->incarnation != coming.peer()->incarnation) {
        return coming.peer()->incarnation > present.peer()->incarnation;
    }
    if (present.dialler() == coming.dialler() || present.isDoubtful()) {
        return true;
    }
    return coming.dialler() == std::min(this->self.id, coming.peer()->id);
}

auto PeerHub::introduced(PeerLink &link) -> void
{
    const auto host = link.peer()->id;
    const auto asked = this->dialled.find(link.isOfSeed() ? link.dialledHost() : host);
    if (asked != this->dialled.end() && asked->second == link.linkId()) {
        this->dialled.erase(asked);
    }
    if (auto *present = this->linkOf(host)) {
        this->chooseOne(*present, link);
        return;
    }
    this->up[host] = link.linkId();
    ++this->counters.connectionsOpened;
    const auto awaited = this->awaited.find(host);
    const auto isSameProcess = awaited != this->awaited.end()
                               && awaited->second.incarnation == link.peer()->incarnation;
    this->awaited.erase(host);
    if (!isSameProcess) {
        this->log(LogEvent::PeerConnected, "peer=" + link.peer()->name);
        this->post(PeerUp { *link.peer() });
    }
}

auto PeerHub::chooseOne(PeerLink &present, PeerLink &coming) -> void
{
    if (!this->keepsNew(present, coming)) {
        this->remove(coming.linkId());
        return;
    }
    this->remove(present.linkId());
    this->up[coming.peer()->id] = coming.linkId();
    if (present.peer()->incarnation != coming.peer()->incarnation) {
        this->post(PeerUp { *coming.peer() });
    }
}

auto PeerHub::ended(PeerLink &link, PeerLoss loss) -> void
{
    this->remove(link.linkId());
    if (link.peer()) {
        this->lost(link, loss);
    } else {
        this->notIntroduced(link, loss);
    }
}

auto PeerHub::lost(const PeerLink &link, PeerLoss loss) -> void
{
    const auto &member = *link.peer();
    const auto found = this->up.find(member.id);
    if (found == this->up.end() || found->second != link.linkId()) {
        return; // Replaced by another.
    }
    this->up.erase(found);
    if (loss != PeerLoss::Closed || !this->isComing(member.id)) {
        this->post(PeerDown { member.id, loss });
        return;
    }
    auto giveUp = [this, host = member.id] {
        this->awaited.erase(host);
        this->post(PeerDown { host, PeerLoss::Closed });
    };
    this->awaited[member.id] = { member.incarnation, this->loop.after(awaitTime, giveUp) };
}

auto PeerHub::notIntroduced(const PeerLink &link, PeerLoss loss) -> void
{
    const auto host = link.dialledHost();
    const auto found = this->dialled.find(host);
    if (found == this->dialled.end() || found->second != link.linkId()) {
        return; // Accepted.
    }
    this->dialled.erase(found);
    const auto *present = this->linkOf(host);
    if (present == nullptr) {
        if (this->awaited.count(host) == 0) {
            this->post(PeerDown { host, loss });
        }
        return;
    }
    if (loss == PeerLoss::Refused && present->isDoubtful()) {
        this->remove(present->linkId());
        this->up.erase(host);
        this->post(PeerDown { host, loss });
    }
}

auto PeerHub::isComing(HostId host) const -> bool
{
    return this->dialled.count(host) != 0
           || std::any_of(this->links.begin(), this->links.end(), [](const auto &entry) {
                  return !entry.second->peer() && !entry.second->dialledHost().isValid();
              });
}

} // namespace flamingograde::net
