/// The library's entry point: passes each event to the controllers and returns their actions.
#include <flamingograde/balancer.h>

#include "core/blackboard.h"
#include "core/controllers.h"
#include "core/dump.h"
#include "core/explain.h"
#include "core/packets/packetnote.h"
#include "core/packets/packetsteering.h"
#include "core/requests/token.h"

namespace flamingograde {

Balancer::Balancer(Init init)
    : blackboard(std::make_unique<Blackboard>(std::move(init))),
      controllers(std::make_unique<Controllers>(this->blackboard->init))
{}

Balancer::~Balancer() = default;

auto Balancer::handle(Now now, Event event) -> const std::vector<Action> &
{
    this->blackboard->now = now;
    this->blackboard->outbox.clear();
    this->controllers->run(*this->blackboard, event);
    return this->blackboard->outbox;
}

auto Balancer::steer(Now now, const std::vector<PacketHead> &heads,
                     std::vector<PacketDecision> &decisions) -> void
{
    this->blackboard->now = now;
    decisions.clear();
    for (const auto &head : heads) {
        decisions.push_back(steerPacket(*this->blackboard, head));
    }
}

auto Balancer::describe(const PacketHead &head, const PacketDecision &decision) const -> std::string
{
    return describePacket(*this->blackboard, head, decision);
}

auto Balancer::caps() const -> Caps
{
    Caps caps;
    caps.version = FLAMINGOGRADE_VERSION;
    caps.tableBytesMax = config::tableBytesMax;
    caps.tokenBytes = tokenTextBytes;
    caps.feedsMax = this->blackboard->init.feedsMax;
    caps.exchangesMax = this->blackboard->init.exchangesMax;
    return caps;
}

auto Balancer::isServing() const -> bool
{
    const auto &board = *this->blackboard;
    if (board.stop.stopping) {
        return false;
    }
    if (!board.init.readsDirectory) {
        return board.config.revision.isValid();
    }
    return this->hasDirectory() && board.freshness.isCurrent(board.now.mono);
}

auto Balancer::hasDirectory() const -> bool
{
    const auto &directory = this->blackboard->directory;
    return directory.rows() != nullptr && directory.listedCount() > 0;
}

auto Balancer::stats() const -> Stats
{
    return statsOf(*this->blackboard);
}

auto Balancer::dump() const -> std::string
{
    return dumpOf(*this->blackboard);
}

auto Balancer::explain(Address address, const std::string &token, const std::string &key) const
        -> std::string
{
    return explainOf(*this->blackboard, address, token, key);
}

} // namespace flamingograde
