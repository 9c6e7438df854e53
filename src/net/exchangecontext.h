/// What the exchanges of a process share.
#pragma once

#include <flamingograde/event.h>

#include <functional>
#include <string>

namespace flamingograde::net {

class HttpClient;
class Loop;

/// The surroundings of an exchange. All parts outlive the exchanges.
struct ExchangeContext
{
    Loop &loop;
    HttpClient &client;
    std::string hostName;                     ///< This host's.
    std::function<void(Event)> post;          ///< Gives an event to the deciding library.
    std::function<void(ExchangeId)> finished; ///< Nothing of the exchange is left.
};

} // namespace flamingograde::net
