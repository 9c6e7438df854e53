/// A call that waits for a newer table.
#pragma once

#include "standins/common/httpconnection.h"

#include <cstdint>

namespace standins {

/// A waiting call.
struct Watch
{
    Watch(asio::io_context &loop, HttpConnection::Ptr connection, std::uint64_t after)
        : connection(std::move(connection)), after(after), timer(loop)
    {}

    HttpConnection::Ptr connection;
    std::uint64_t after; ///< The revision that the reader has.
    asio::steady_timer timer;
};

} // namespace standins
