#include "standins/common/httpanswer.h"

#include <boost/beast/http/message.hpp>

namespace standins {

auto serializeHead(const HttpAnswer &answer) -> std::string
{
    const auto status = static_cast<boost::beast::http::status>(answer.status);
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    head += std::string(boost::beast::http::obsolete_reason(status));
    head += "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n";
    for (const auto &[name, value] : answer.headers) {
        head += name + ": " + value + "\r\n";
    }
    return head + "\r\n";
}

} // namespace standins
