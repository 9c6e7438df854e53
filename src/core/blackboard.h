/// The state of a host, through which its controllers exchange data: none calls another.
#pragma once

#include "core/configuration/configstate.h"
#include "core/directory/directory.h"
#include "core/directory/directoryfreshness.h"
#include "core/feeds/feedstore.h"
#include "core/flowadmission/flowadmissionstate.h"
#include "core/homes/cellstore.h"
#include "core/homes/tenurestate.h"
#include "core/keys/keyregistry.h"
#include "core/loadreports/demandledger.h"
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

/// The whole state of a host, with one member per subject.
///
/// The controllers run in a fixed order on each event. The lists `toOpen`, `toPlace`, `toAdmit` and
/// `toQueue` pass exchanges from one controller to another.
/// @remarks Not thread safe.
class Blackboard
{
public:
    explicit Blackboard(Init settings)
        : init(std::move(settings)), random(this->init.seed), config(this->init.clockBound),
          directory(ZoneId::ofName(this->init.self.zoneName),
                    this->init.coldPolicy != ColdPolicy::Unlimited, this->init.upstreamHeartbeat),
          packets(this->init.flowsTracked, this->init.packetPolicy)
    {}

    Init init;                  ///< The settings; only the seeds change after the start.
    Now now;                    ///< The time of the current event.
    std::vector<Action> outbox; ///< The actions of the current event.
    Stats stats;                ///< Counters.
    std::mt19937_64 random;     ///< The only source of random numbers.

    ConfigState config;              ///< The table in force and the state of the platform.
    Directory directory;             ///< Packet rows and upstreams, as the platform publishes them.
    DirectoryFreshness freshness;    ///< Whether the directory is current.
    bool directoryReadsFail = false; ///< This host's last read of the directory failed.
    PacketState packets;             ///< Tracked packet flows.
    FlowAdmissionState flowAdmission; ///< Loads of the services that packets ask for.
    DemandLedger demand;              ///< Demand for services as other hosts reported it.
    std::vector<Log> pendingLogs;     ///< Log lines caused by packets; written with the next tick.
    MembershipState membership;       ///< The other hosts.
    LinkState links;                  ///< Connections that this host keeps with other hosts.
    TenureState tenure;               ///< The cells of which this host is the home.
    ExchangeStore exchanges;          ///< Requests in progress.
    FeedStore feeds;                  ///< Open feeds.
    CellStore cells;         ///< Queues and slots of the cells of which this host is the home.
    KeyRegistry keys;        ///< Idempotency keys whose requests this host has run.
    PlacedShares placed;     ///< Placements that this host has made in each cell.
    UpstreamStore upstreams; ///< Run-time state of upstreams, besides the table.
    RetryBudget retryBudget; ///< Retries still allowed.
    StopState stop;          ///< The orderly stop.

    std::vector<ExchangeId> toOpen;  ///< Feeds for the feed controller to open.
    std::vector<ExchangeId> toPlace; ///< For the steering controller to place at a home host.
    std::vector<ExchangeId> toAdmit; ///< For the key controller; this host is their home.
    std::vector<ExchangeId> toQueue; ///< For the admission controller; their keys are checked.

    /// Appends an action to the outbox.
    template<typename A>
    auto addAction(A action) -> void
    {
        this->outbox.emplace_back(std::move(action));
    }

    /// Appends a log action to the outbox.
    auto log(LogEvent event, std::string text) -> void
    {
        this->outbox.emplace_back(Log { event, std::move(text) });
    }

    /// Returns the table in force, or an empty one if no table has been accepted yet.
    [[nodiscard]] auto table() const -> const Table & { return *this->config.table; }
};

} // namespace flamingograde
