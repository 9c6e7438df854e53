/// Division of a service's room between its callers.
#pragma once

#include <flamingograde/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace flamingograde {

/// Remembers how many flows of each caller were admitted recently, by IP address.
///
/// Answers overload by few callers that send much more than the others: a caller that got more than
/// the mean, and more than chance explains, has to find a shorter queue than the others. A caller
/// whose flows were refused got less, so it comes before those that were just served.
/// @remarks Not thread safe. Of fixed size; a caller that finds its place taken by one that was
/// admitted recently counts as one that got nothing. Does not allocate.
class CallerShares
{
public:
    /// Returns which part of the room above `config::roomPerSlot` a caller may use, from 0 to 1.
    /// Precondition: none.
    [[nodiscard]] auto roomPart(std::uint32_t ip) const -> double;

    /// Notes that a caller asked for a flow, and whether it got it. Precondition: none.
    auto note(std::uint32_t ip, bool isAdmitted) -> void;

    /// Lets `passed` go by. Precondition: it is not negative.
    auto decay(Duration passed) -> void;

private:
    struct Place
    {
        std::uint32_t ip = 0;
        float admitted = 0; ///< Recently admitted flows, decayed.
        float asked = 0;    ///< Recent openings, decayed.
    };

    static constexpr std::size_t places = 512; ///< A power of two.

    [[nodiscard]] static auto placeOf(std::uint32_t ip) -> std::size_t;

    std::array<Place, places> table {};
    double meanAdmitted = 0; ///< Over the callers that asked recently.
};

} // namespace flamingograde
