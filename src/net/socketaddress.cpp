/// Converts between `Address` and `sockaddr_in`.
#include "net/socketaddress.h"

#include <sys/socket.h>

namespace flamingograde::net {

auto toSockaddr(Address address) -> sockaddr_in
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip);
    result.sin_port = htons(address.port);
    return result;
}

auto fromSockaddr(const sockaddr_in &address) -> Address
{
    return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

auto boundAddress(int fd) -> Address
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    if (getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        return {};
    }
    return fromSockaddr(address);
}

} // namespace flamingograde::net
