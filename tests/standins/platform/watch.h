/// A pending call that waits for another revision of the table (long poll).
#pragma once

#include "standins/common/httpconnection.h"

#include <cstdint>

namespace standins {

/// A pending call and the timer that ends its wait.
struct Watch
{
    Watch(asio::io_context &loop, HttpConnection::Ptr connection, std::uint64_t after)
        : connection(std::move(connection)), after(after), timer(loop)
    {}

    HttpConnection::Ptr connection;
    std::uint64_t after; ///< The revision that the reader already has.
    asio::steady_timer timer;
};

} // namespace standins
