/// The state of a host. Controllers read and write it; none calls another.
#pragma once

#include "core/configuration/configstate.h"
#include "core/directory/directory.h"
#include "core/feeds/feedstore.h"
#include "core/homes/cellstore.h"
#include "core/homes/tenurestate.h"
#include "core/keys/keyregistry.h"
#include "core/membership/membershipstate.h"
#include "core/overlay/linkstate.h"
#include "core/packets/packetstate.h"
#include "core/placement/placedshares.h"
#include "core/requests/exchangestore.h"
#include "core/requests/retrybudget.h"
#include "core/stop/stopstate.h"
#include "core/upstreams/upstreamstore.h"

#include <flamingograde/action.h>
#include <flamingograde/clock.h>
#include <flamingograde/init.h>
#include <flamingograde/stats.h>
#include <flamingograde/table.h>

#include <random>
#include <utility>
#include <vector>

namespace flamingograde {

/// Everything a host knows, one part a matter.
///
/// The controllers run in a fixed order on each event. The lists `toPlace` and `toAdmit` hand
/// exchanges from one to the next.
/// @remarks Not thread safe.
class Blackboard
{
public:
    explicit Blackboard(Init start)
        : init(std::move(start)), random(this->init.seed), config(this->init.clockBound),
          directory(ZoneId::ofName(this->init.self.zoneName),
                    this->init.coldPolicy != ColdPolicy::Unlimited),
          packets(this->init.flowsTracked, this->init.packetPolicy)
    {}

    Init init;                  ///< The settings; constant but for the seeds.
    Now now;                    ///< The time of the current event.
    std::vector<Action> outbox; ///< The actions of the current event.
    Stats stats;                ///< Counters.
    std::mt19937_64 random;     ///< The only source of random numbers.

    ConfigState config;              ///< The table in force and what is known of the platform.
    Directory directory;             ///< Packet rows and upstreams, as the platform publishes them.
    bool directoryReadsFail = false; ///< This host's last read of the directory failed.
    PacketState packets;             ///< Packet flows that are watched.
    std::vector<Log> notes;          ///< What packets changed; logged with the next tick.
    MembershipState membership;      ///< The other hosts.
    LinkState links;                 ///< With which of them this host keeps connections.
    TenureState tenure;              ///< The cells this host is home of.
    ExchangeStore exchanges;         ///< Requests under way.
    FeedStore feeds;                 ///< Feeds held.
    CellStore cells;                 ///< Queues and slots of the cells this host is home of.
    KeyRegistry keys;                ///< Keys this host has run.
    PlacedShares placed;             ///< What each cell was given by this host.
    UpstreamStore upstreams;         ///< What is known of upstreams beside the table.
    RetryBudget retryBudget;         ///< Retries still allowed.
    StopState stop;                  ///< The orderly stop.

    std::vector<ExchangeId> toOpen;  ///< For the feed controller.
    std::vector<ExchangeId> toPlace; ///< For the steering controller.
    std::vector<ExchangeId> toAdmit; ///< For the key controller; at their home, this host.
    std::vector<ExchangeId> toQueue; ///< For the admission controller; keys are checked.

    /// Appends an action.
    template<typename A>
    auto act(A action) -> void
    {
        this->outbox.emplace_back(std::move(action));
    }

    /// Appends a log action.
    auto log(LogEvent event, std::string text) -> void
    {
        this->outbox.emplace_back(Log { event, std::move(text) });
    }

    /// Returns the table in force; an empty one before the first.
    [[nodiscard]] auto table() const -> const Table & { return *this->config.table; }
};

} // namespace flamingograde
