/// One feed that an upstream holds open.
#pragma once

#include "standins/common/httpconnection.h"

#include <cstdint>

namespace standins {

/// How far a feed is.
struct FeedStream
{
    HttpConnection::Ptr connection;
    std::uint64_t sent = 0; ///< Number of the last event written.
    bool writing = false;
};

} // namespace standins
