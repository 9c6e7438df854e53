/// What a build of the library can do.
#pragma once

#include <cstddef>
#include <string>

namespace flamingograde {

/// Capabilities and limits of this build.
struct Caps
{
    std::string version;           ///< Of the library.
    std::size_t tableBytesMax = 0; ///< Largest table text.
    std::size_t tokenBytes = 0;    ///< Length of a flow token in characters.
    std::size_t feedsMax = 0;      ///< Feeds held at once.
    std::size_t exchangesMax = 0;  ///< Requests under way at once.
};

} // namespace flamingograde
