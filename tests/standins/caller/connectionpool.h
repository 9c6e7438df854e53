/// A pool of idle connections that a load generator reuses for later requests.
#pragma once

#include "standins/caller/clientconnection.h"
#include "standins/common/asio.h"

#include <optional>
#include <vector>

namespace standins {

/// Hands out idle connections and creates new ones.
/// @remarks Not thread safe.
class ConnectionPool
{
public:
    /// @param source the local IP address to connect from; chosen by the system if empty.
    /// @param maxRequests the maximum number of requests on one connection.
    ConnectionPool(asio::io_context &loop, Tcp::endpoint target,
                   std::optional<asio::ip::address> source, unsigned maxRequests);

    /// Returns the most recently used idle connection that is still usable, or a new one.
    [[nodiscard]] auto acquire() -> ClientConnection::Ptr;
    /// Returns a new connection.
    [[nodiscard]] auto create() -> ClientConnection::Ptr;
    /// Returns a connection to the pool after its request has ended. Drops it if it is not reusable
    /// or has reached the maximum number of requests.
    auto release(const ClientConnection::Ptr &connection) -> void;
    /// Drops idle connections that the peer has closed or that have been idle for too long.
    auto dropUnusable() -> void;

private:
    asio::io_context &loop;
    Tcp::endpoint target;
    std::optional<asio::ip::address> source;
    unsigned maxRequests;
    std::vector<ClientConnection::Ptr> idle;
};

} // namespace standins
