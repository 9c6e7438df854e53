/// The connections that a load keeps for its next requests.
#pragma once

#include "standins/caller/clientconnection.h"
#include "standins/common/asio.h"

#include <optional>
#include <vector>

namespace standins {

/// Gives out kept connections and makes new ones.
/// @remarks Not thread safe.
class ConnectionPool
{
public:
    /// @param source the IP number to connect from; none: the system's choice.
    /// @param reuse the most requests on one connection.
    ConnectionPool(asio::io_context &loop, Tcp::endpoint target,
                   std::optional<asio::ip::address> source, unsigned reuse);

    /// Returns a kept connection, or a new one.
    [[nodiscard]] auto take() -> ClientConnection::Ptr;
    /// Returns a new connection.
    [[nodiscard]] auto makeNew() -> ClientConnection::Ptr;
    /// Takes back a connection whose request is answered; drops it where it can't be kept.
    auto giveBack(const ClientConnection::Ptr &connection) -> void;
    /// Drops the connections that were closed by the other end or are idle for too long.
    auto sweep() -> void;

private:
    asio::io_context &loop;
    Tcp::endpoint target;
    std::optional<asio::ip::address> source;
    unsigned reuse;
    std::vector<ClientConnection::Ptr> idle;
};

} // namespace standins
