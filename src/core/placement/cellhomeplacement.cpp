/// Chooses a cell by key, by flow or by load.
#include "core/placement/cellhomeplacement.h"

#include "core/blackboard.h"
#include "core/keys/idempotencykey.h"

#include <algorithm>
#include <limits>

namespace flamingograde {

namespace {

/// Returns the load of a cell as a share of its slots; one without news is held to be idle.
auto loadShare(const Blackboard &board, const CellChoice &choice) -> double
{
    const auto load = board.cells.loadOf(choice.cell, board.now.mono);
    if (!load) {
        return 0;
    }
    const auto slots = load->slots > 0 ? static_cast<double>(load->slots) : 1.0;
    return (load->running + load->queued) / slots;
}

/// Draws a choice in proportion to the slots, other than the one at `except`.
auto draw(Blackboard &board, const std::vector<CellChoice> &choices, std::size_t except)
        -> std::size_t
{
    std::vector<double> weights;
    weights.reserve(choices.size());
    for (std::size_t i = 0; i < choices.size(); ++i) {
        weights.push_back(i == except ? 0 : choices[i].slots);
    }
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return distribution(board.random);
}

auto lessLoaded(Blackboard &board, const std::vector<CellChoice> &choices) -> const CellChoice &
{
    const auto first = draw(board, choices, choices.size());
    if (choices.size() == 1) {
        return choices[first];
    }
    const auto second = draw(board, choices, first);
    const auto isSecondLess = loadShare(board, choices[second]) < loadShare(board, choices[first]);
    return choices[isSecondLess ? second : first];
}

/// Returns the choice that was given least for its slots, of those that are not crowded; the less
/// loaded of two drawn ones where all are.
auto leastPlaced(Blackboard &board, const std::vector<CellChoice> &choices) -> const CellChoice &
{
    const CellChoice *least = nullptr;
    for (const auto &choice : choices) {
        const auto isLess =
                least == nullptr || board.placed.of(choice.cell) < board.placed.of(least->cell);
        if (isLess && loadShare(board, choice) <= config::crowdedShare) {
            least = &choice;
        }
    }
    return least == nullptr ? lessLoaded(board, choices) : *least;
}

/// Counts a placement at `cell`, one of `choices`.
auto countPlaced(Blackboard &board, const std::vector<CellChoice> &choices, CellId cell) -> void
{
    auto slots = 0.0;
    auto least = std::numeric_limits<double>::max();
    for (const auto &choice : choices) {
        slots = choice.cell == cell ? choice.slots : slots;
        least = std::min(least, board.placed.of(choice.cell));
    }
    if (slots > 0) {
        board.placed.count(cell, slots, least);
    }
}

/// Removes the choices for which `isBad` holds, unless that would leave none.
template<typename Predicate>
auto dropUnlessLast(std::vector<CellChoice> &choices, Predicate isBad) -> void
{
    const auto end = std::remove_if(choices.begin(), choices.end(), isBad);
    if (end != choices.begin()) {
        choices.erase(end, choices.end());
    }
}

/// Returns whether the home of a cell will find its zone for the key made here: it does not yet
/// where a table has just added the zone.
auto isOwnKeyPlaced(const Blackboard &board, const Exchange &exchange, const CellChoice &choice)
        -> bool
{
    const auto key = keyInZone(zoneNameOf(board, choice.cell), exchange.key);
    return placementOfKey(board, exchange.service, key, exchange.keyBirth).zone == choice.zone;
}

auto placeByLoad(Blackboard &board, const Exchange &exchange, std::vector<CellChoice> choices)
        -> Placed
{
    if (choices.empty()) {
        const auto hasZones = !board.table().zonesOf(exchange.service).empty();
        return PlaceNowhere { hasZones ? RefusalReason::NoHome : RefusalReason::NoUpstream, false };
    }
    if (exchange.ownKey) {
        dropUnlessLast(choices, [&](const CellChoice &choice) {
            return !isOwnKeyPlaced(board, exchange, choice);
        });
    }
    dropUnlessLast(choices, [](const CellChoice &choice) { return !choice.ready; });
    dropUnlessLast(choices,
                   [&](const CellChoice &choice) { return choice.cell == exchange.avoid; });
    return placeInZone(board, exchange.service, leastPlaced(board, choices).zone);
}

auto placeByKey(const Blackboard &board, const Exchange &exchange) -> Placed
{
    const auto zone = placementOfKey(board, exchange.service, exchange.key, exchange.keyBirth).zone;
    if (!zone.isValid()) {
        return PlaceNowhere { RefusalReason::NoUpstream, false };
    }
    return placeInZone(board, exchange.service, zone);
}

/// Returns where `exchange` goes by key, by flow or by share.
auto placeUncounted(Blackboard &board, Exchange &exchange, const std::vector<CellChoice> &choices)
        -> Placed
{
    if (!exchange.idempotent && !exchange.ownKey) {
        return placeByKey(board, exchange);
    }
    exchange.bound = exchange.upstream.isValid() && exchange.attempt == 0
                     && isOpenFor(board, exchange.upstream, exchange.service);
    if (exchange.bound) {
        const auto zone = board.table().upstream(exchange.upstream)->zone;
        return placeInZone(board, exchange.service, zone);
    }
    exchange.upstream = UpstreamId();
    return placeByLoad(board, exchange, choices);
}

} // namespace

auto CellHomePlacement::place(Blackboard &board, Exchange &exchange) const -> Placed
{
    const auto choices = cellChoices(board, exchange.service);
    const auto placed = placeUncounted(board, exchange, choices);
    if (const auto *here = std::get_if<PlaceHere>(&placed)) {
        countPlaced(board, choices, here->cell);
    } else if (const auto *there = std::get_if<PlaceAt>(&placed)) {
        countPlaced(board, choices, there->cell);
    }
    return placed;
}

} // namespace flamingograde
