/// An HTTP/1.1 response and the serialization of its head.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace standins {

/// A complete HTTP/1.1 response.
struct HttpAnswer
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Returns the status line and headers of `answer`, including its Content-Length, up to and
/// including the empty line.
[[nodiscard]] auto serializeHead(const HttpAnswer &answer) -> std::string;

} // namespace standins
