/// A request being processed by an upstream.
#pragma once

#include "standins/common/httpconnection.h"

#include <cstdint>
#include <string>
#include <utility>

namespace standins {

/// A request that is running or queued for a free slot.
struct Job
{
    Job(asio::io_context &loop, HttpConnection::Ptr connection, HttpRequest request)
        : connection(std::move(connection)), request(std::move(request)), timer(loop)
    {}

    HttpConnection::Ptr connection;
    HttpRequest request;
    asio::steady_timer timer;    ///< Expires at the end of the service time.
    std::string service;         ///< The upstream's service when the request started.
    std::uint32_t runNumber = 0; ///< How often this request has been run, including this run.
    bool running = false;
};

} // namespace standins
