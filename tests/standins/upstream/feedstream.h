/// A feed that is open at an upstream.
#pragma once

#include "standins/common/httpconnection.h"

#include <cstdint>

namespace standins {

/// The connection of a feed and its progress.
struct FeedStream
{
    HttpConnection::Ptr connection;
    std::uint64_t lastSent = 0; ///< Number of the last event passed to `write`.
    bool writing = false;       ///< Whether a write is in progress.
};

} // namespace standins
