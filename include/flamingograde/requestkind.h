/// Kinds of requests.
#pragma once

#include <cstdint>
#include <string_view>

namespace flamingograde {

/// The kind of the requests of a row.
enum class RequestKind : std::uint8_t {
    Feed,    ///< A long-lived stream of events; occupies a connection of its upstream.
    Request, ///< A short request and its answer; occupies a slot.
    Upload,  ///< A request with a large body; occupies a slot.
};

/// Returns the kind's name in the table.
/// @remarks Thread safe.
[[nodiscard]] auto toString(RequestKind kind) -> std::string_view;

} // namespace flamingograde
