/// A request as it came in.
#pragma once

#include <string>

namespace flamingograde::net {

/// What is passed on of a caller's or relaying host's request.
struct Request
{
    std::string method;
    std::string path; ///< With the query.
    std::string contentType;
    std::string accept;
    std::string lastEventId;
    std::string body;
};

} // namespace flamingograde::net
