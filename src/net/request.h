/// An incoming request.
#pragma once

#include <string>

namespace flamingograde::net {

/// The parts of a request from a caller or a relaying host that are forwarded.
struct Request
{
    std::string method;
    std::string path; ///< Includes the query string.
    std::string contentType;
    std::string accept;
    std::string lastEventId;
    std::string body;
};

} // namespace flamingograde::net
