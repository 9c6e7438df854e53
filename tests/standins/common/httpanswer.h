/// An HTTP answer and its bytes.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace standins {

/// A whole HTTP/1.1 answer.
struct HttpAnswer
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Returns the head of `answer` with its Content-Length, up to and with the empty line.
[[nodiscard]] auto headOf(const HttpAnswer &answer) -> std::string;

} // namespace standins
