/// What a host knows about the load of one service, and the decision to admit a flow.
#pragma once

#include "core/admission/servicetime.h"
#include "core/flowadmission/callershares.h"
#include "core/flowadmission/demandmeter.h"
#include "core/flowadmission/hostroom.h"
#include "core/flowadmission/overloadperiod.h"
#include "core/flowadmission/queuelimit.h"
#include "core/packets/zonespill.h"

#include <flamingograde/clock.h>
#include <flamingograde/config.h>
#include <flamingograde/servicestats.h>

#include <array>
#include <cstdint>
#include <map>

namespace flamingograde {

/// A new flow that asks for admission.
struct FlowRequest
{
    std::uint32_t callerIp = 0;
    std::uint32_t urgency = 0; ///< Of its row; values above `config::urgencyMax` count as that.
    Duration goal { 0 };       ///< Its row's target, or its deadline if it has none.
};

/// Demand, slot time and admitted flows of one service at this host.
///
/// Answers load above what the upstreams' slots can do. Without it each upstream's queue fills,
/// all callers wait too long, and upstreams shed requests whose callers come back.
/// @remarks Not thread safe. Allocates once for each urgency that callers ask for.
class ServiceLoad
{
public:
    /// Decides on a new flow; a refused one is noted as demand. Precondition: none.
    auto decide(const FlowRequest &request, const HostRoom &room, MonoTime now) -> Admission;

    /// Returns what `decide` would decide, without noting it. Precondition: none.
    [[nodiscard]] auto assess(const FlowRequest &request, const HostRoom &room, MonoTime now) const
            -> Admission;

    /// Adds a measured response time.
    /// @param response from a request to the acknowledgement of its answer.
    /// @param load requests per slot when the request was sent.
    auto noteResponse(Duration response, double load, MonoTime now) -> void;

    /// Adds the time from an opening to its caller's next packet. Precondition: none.
    auto noteHandshake(Duration time) -> void;

    /// Lets the time pass that went by since the last call. Precondition: called on each `Tick`.
    auto tick(MonoTime now) -> void;

    /// Notes a request on an admitted flow as demand. Precondition: none.
    auto noteRequest() -> void { this->demand.add(); }

    /// Returns the requests per second that callers ask this host for, refused flows included.
    /// Precondition: none.
    [[nodiscard]] auto requestsPerSecond() const -> double { return this->demand.perSecond(); }

    /// Returns whether no slot is free by the hosts' reports. Precondition: none.
    [[nodiscard]] auto isFull() const -> bool { return this->fleetLoad >= config::roomPerSlot; }

    /// Returns the mean response time; 0 before the first measurement. Precondition: none.
    [[nodiscard]] auto meanResponse() const -> Duration { return this->response; }

    /// Returns the times on which limits are based. Precondition: none.
    [[nodiscard]] auto times(MonoTime now) const -> QueueTimes;

    /// Returns the limit of requests per slot for a flow, without regard to its caller.
    /// Precondition: none.
    [[nodiscard]] auto limitFor(const FlowRequest &request, MonoTime now) const -> double;

    double share = 0;      ///< This host's part of the fleet's demand; 0: not known yet.
    SlotDemand slotDemand; ///< By the hosts' reports; 0: not known.
    double fleetLoad = 0;  ///< Requests per slot by the hosts' reports; 0: not known.
    std::array<std::uint64_t, ServiceStats::admissions> flows {}; ///< New flows by `Admission`.
    OverloadPeriod overload; ///< The period in which flows are refused, if there is one.

private:
    /// Above the requests per slot of any service: no upstream has shed a request.
    static constexpr double shedLimitMax = 1000;
    static constexpr std::size_t levels = config::urgencyMax + 1;

    [[nodiscard]] static auto levelOf(const FlowRequest &request) -> std::size_t;
    [[nodiscard]] auto callerPart(const FlowRequest &request) const -> double;
    [[nodiscard]] auto isShed(Duration served, double load) const -> bool;
    auto noteShed(double load) -> void;
    [[nodiscard]] auto topLimit(const FlowRequest &request, MonoTime now) const -> double;
    [[nodiscard]] auto isBelowFloor(std::size_t level) const -> bool;

    DemandMeter demand;
    std::array<DemandMeter, levels> asked; ///< New flows asked for, by urgency.
    std::array<DemandMeter, levels> given; ///< New flows admitted, by urgency.
    double givenTotal = 0;                 ///< Sum of `given`, as of the last tick.
    std::uint32_t activeLevels = 0;        ///< Bit n is set if flows of urgency n are asked for.
    std::map<std::size_t, CallerShares> callers; ///< By urgency.
    ServiceTime slotTime;
    double shedLimit = shedLimitMax; ///< Requests per slot above which upstreams shed some.
    Duration handshake { 0 };
    Duration response { 0 };
    MonoTime lastTick;
};

} // namespace flamingograde
