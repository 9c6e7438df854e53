/// The kinds of work that a row carries.
#pragma once

#include <cstdint>
#include <string_view>

namespace flamingograde {

/// What the packets of a row are.
enum class RequestKind : std::uint8_t {
    Feed,    ///< A long-lived answer of events; takes a connection of its upstream.
    Request, ///< A short request and its answer; takes a slot.
    Upload,  ///< A request with a large body; takes a slot.
};

/// Returns the kind's name in the table.
/// @remarks Thread safe.
[[nodiscard]] auto toString(RequestKind kind) -> std::string_view;

} // namespace flamingograde
