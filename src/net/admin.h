/// The HTTP admin interface of a host.
#pragma once

#include <flamingograde/address.h>

#include <functional>
#include <string>

struct st_h2o_req_t;

namespace flamingograde::net {

/// Callbacks that supply the content of admin responses.
struct AdminSource
{
    std::function<std::string()> metrics; ///< Metrics in Prometheus text format.
    std::function<std::string()> dump;    ///< Internal state as JSON.
    std::function<bool()> isServing;      ///< Whether the host has a table and is not stopping.
    std::function<void()> drain;          ///< Starts a graceful shutdown.
    std::function<std::string(Address, const std::string &token, const std::string &key)>
            explain; ///< Where a request to this row address with this token and key would go
                     ///< now, and why, as JSON.
};

/// Answers one admin request. Precondition: no part of the response has been sent.
auto handleAdminRequest(st_h2o_req_t *request, const AdminSource &source) -> void;

} // namespace flamingograde::net
