/// Load of one service as this host sees it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace flamingograde {

/// Why a new flow was admitted or refused. `toString` has the same order.
enum class Admission : std::uint8_t {
    Admitted,
    AdmittedByFloor,  ///< Above the limit of its urgency, but its rows had less than their floor.
    RefusedByTarget,  ///< The queue is too long for its row's target.
    RefusedByUrgency, ///< Refused, so that the more urgent rows find room.
    RefusedByShare,   ///< Its caller had more than other callers.
};

/// Returns the name in logs and metrics. @remarks Thread safe.
[[nodiscard]] auto toString(Admission admission) -> std::string_view;

/// Returns whether a flow is placed. @remarks Thread safe.
[[nodiscard]] constexpr auto isAdmitted(Admission admission) -> bool
{
    return admission == Admission::Admitted || admission == Admission::AdmittedByFloor;
}

/// Gauges and counters of one service.
struct ServiceStats
{
    static constexpr std::size_t admissions = 5; ///< Number of `Admission`s.

    std::string name;
    std::uint32_t slots = 0;     ///< Slots of the upstreams that answer.
    std::uint32_t underWay = 0;  ///< Requests of this host under way there.
    double share = 0;            ///< Part of the slots that this host may fill.
    double hostLoad = 0;         ///< Requests per slot of this host's part.
    double fleetLoad = 0;        ///< Requests per slot by the reports of all hosts; 0: not known.
    std::int64_t slotTimeMs = 0; ///< Time within which a slot ends most requests; 0: not measured.
    std::array<std::uint64_t, admissions> flows {}; ///< New flows by `Admission`.
};

} // namespace flamingograde
