/// Which upstream a new flow goes to.
#pragma once

#include "core/directory/rowentry.h"

#include <cstdint>
#include <optional>

namespace flamingograde {

class Blackboard;

/// A new flow to be placed.
struct NewFlow
{
    std::uint64_t hash = 0; ///< Of its ends; the same for each copy of its opening packet.
    std::optional<std::uint32_t> avoid; ///< An upstream that did not answer it.
};

/// Returns the entry in the directory that takes a new flow of `row`, or nothing where no upstream
/// of its services takes new flows.
///
/// The service is drawn by weight; one without any upstream is passed over. Within a service the
/// least busy for its slots is taken, of the own zone where it has any and they are not crowded;
/// then cold ones of the own zone, within their limit.
/// Precondition: `board.now` is set. Does not allocate.
[[nodiscard]] auto placeFlow(Blackboard &board, const RowEntry &row, const NewFlow &flow)
        -> std::optional<std::uint32_t>;

} // namespace flamingograde
