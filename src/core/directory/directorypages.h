/// Pages in which a host sends its whole directory to another one.
#pragma once

#include <flamingograde/ids.h>
#include <flamingograde/message.h>

#include <cstddef>

namespace flamingograde {

class Directory;

/// Returns the page of `directory` that begins at `position`.
///
/// The upstreams of the receiver's zone come first: with the rows, which are in the first page,
/// they let the receiver place flows before it has the rest. Changes during the transfer may be
/// missing from the pages; the lowest revision of all pages bounds them.
/// Precondition: `directory` has a revision; `recordsMax` is positive.
/// @param receiverZone the availability zone of the host that gets the page.
/// @param recordsMax most upstreams in the page.
[[nodiscard]] auto makePage(const Directory &directory, ZoneId receiverZone,
                            DirectoryPosition position, std::size_t recordsMax) -> DirectoryPage;

/// Returns what an incomplete `directory` contains, up to `recordsMax` upstreams, as the answer to
/// a request for the page at `position`. Precondition: none.
[[nodiscard]] auto makePart(const Directory &directory, DirectoryPosition position,
                            std::size_t recordsMax) -> DirectoryPage;

} // namespace flamingograde
