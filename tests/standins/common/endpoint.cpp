#include "standins/common/endpoint.h"

#include <netinet/in.h>

#include <charconv>
#include <cstdint>
#include <stdexcept>

namespace standins {

auto parseEndpoint(const std::string &text) -> Tcp::endpoint
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("expected IP:PORT, got: " + text);
    }
    ErrorCode error;
    const auto ip = asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        throw std::invalid_argument("expected IP:PORT, got: " + text);
    }
    return { ip, port };
}

auto toString(const Tcp::endpoint &endpoint) -> std::string
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

auto bindSource(Tcp::socket &socket, const asio::ip::address &source, ErrorCode &error) -> void
{
    using BindAddressNoPort =
            asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
    socket.open(Tcp::v4(), error);
    if (error) {
        return;
    }
    socket.set_option(BindAddressNoPort(true), error);
    if (error) {
        return;
    }
    socket.bind(Tcp::endpoint(source, 0), error);
}

auto resetSocket(Tcp::socket &socket) -> void
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace standins
