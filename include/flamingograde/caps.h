/// Limits and version of the library.
#pragma once

#include <cstddef>
#include <string>

namespace flamingograde {

/// Version and limits of this build and its settings.
struct Caps
{
    std::string version;           ///< Version of the library.
    std::size_t tableBytesMax = 0; ///< Largest table text in bytes.
    std::size_t tokenBytes = 0;    ///< Length of a flow token in characters.
    std::size_t feedsMax = 0;      ///< Feeds held open at once.
    std::size_t exchangesMax = 0;  ///< Requests in progress at once.
};

} // namespace flamingograde
