/// The connections with other hosts.
#include "net/peerhub.h"

#include "net/loop.h"
#include "net/peerendpoints.h"
#include "net/peerlink.h"

#include <flamingograde/config.h>

#include <algorithm>
#include <utility>

namespace flamingograde::net {

namespace {

/// A connection quiet for this long gives way to a new one, whoever dialled it.
constexpr auto doubtfulQuiet = config::silenceTimeout / 2;

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
    if (this->up.count(host) != 0 || this->dialled.count(host) != 0) {
        return;
    }
    auto &link = this->add();
    this->dialled.emplace(host, link.linkId());
    link.dial(host, address);
}

auto PeerHub::drop(HostId host) -> void
{
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

auto PeerHub::linkOf(HostId host) -> PeerLink *
{
    const auto found = this->up.find(host);
    return found == this->up.end() ? nullptr : this->links.at(found->second).get();
}

auto PeerHub::remove(LinkId link) -> void
{
    this->loop.defer([this, link] { this->links.erase(link); });
}

auto PeerHub::keepsNew(const PeerLink &present, const PeerLink &coming) const -> bool
{
    if (present.peer()->incarnation != coming.peer()->incarnation) {
        return coming.peer()->incarnation > present.peer()->incarnation;
    }
    if (present.dialler() == coming.dialler() || present.quietFor() >= doubtfulQuiet) {
        return true;
    }
    return coming.dialler() == std::min(this->self.id, coming.peer()->id);
}

auto PeerHub::introduced(PeerLink &link) -> void
{
    const auto host = link.peer()->id;
    const auto asked = this->dialled.find(host);
    if (asked != this->dialled.end() && asked->second == link.linkId()) {
        this->dialled.erase(asked);
    }
    auto *present = this->linkOf(host);
    if (present != nullptr) {
        this->chooseOne(*present, link);
        return;
    }
    this->up[host] = link.linkId();
    ++this->counters.connectionsOpened;
    this->log(LogEvent::PeerConnected, link.peer()->name);
    this->post(PeerUp { *link.peer() });
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
    const auto host = link.peer() ? link.peer()->id : link.dialledHost();
    auto &index = link.peer() ? this->up : this->dialled;
    const auto found = index.find(host);
    if (found == index.end() || found->second != link.linkId()) {
        return; // Accepted and never introduced, or replaced by another.
    }
    index.erase(found);
    if (!link.peer() && this->up.count(host) != 0) {
        return; // The other host's dialling came about.
    }
    this->post(PeerDown { host, loss });
}

} // namespace flamingograde::net
