/// What operators can ask a host.
#pragma once

#include <flamingograde/address.h>

#include <functional>
#include <string>

struct st_h2o_req_t;

namespace flamingograde::net {

/// Where the answers to operators come from.
struct AdminSource
{
    std::function<std::string()> metrics; ///< Prometheus text.
    std::function<std::string()> dump;    ///< JSON.
    std::function<bool()> isServing;      ///< It has a table and does not stop.
    std::function<void()> drain;          ///< Begins an orderly stop.
    std::function<std::string(Address, const std::string &token, const std::string &key)>
            explain; ///< JSON.
};

/// Answers one request of an operator. Precondition: nothing of it was answered.
auto answerAdmin(st_h2o_req_t *request, const AdminSource &source) -> void;

} // namespace flamingograde::net
