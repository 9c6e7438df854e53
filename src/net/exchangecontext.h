/// Dependencies shared by all exchanges of a process.
#pragma once

#include <flamingograde/event.h>

#include <functional>
#include <string>

namespace flamingograde::net {

class HttpClient;
class Loop;

/// Dependencies of an exchange. All of them outlive the exchanges.
struct ExchangeContext
{
    Loop &loop;
    HttpClient &client;
    std::string hostName;                     ///< Name of this host.
    std::function<void(Event)> post;          ///< Posts an event to the balancer library.
    std::function<void(ExchangeId)> finished; ///< The exchange is complete and can be destroyed.
};

} // namespace flamingograde::net
