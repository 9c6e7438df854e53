/// One request at an upstream.
#pragma once

#include "standins/common/httpconnection.h"

#include <cstdint>
#include <string>
#include <utility>

namespace standins {

/// A request that waits for a slot or runs.
struct Job
{
    Job(asio::io_context &loop, HttpConnection::Ptr connection, HttpRequest request)
        : connection(std::move(connection)), request(std::move(request)), timer(loop)
    {}

    HttpConnection::Ptr connection;
    HttpRequest request;
    asio::steady_timer timer; ///< Fires at the end of the service time.
    std::string service;      ///< The upstream's when it began.
    std::uint32_t times = 0;  ///< How often its key has run.
    bool running = false;
};

} // namespace standins
