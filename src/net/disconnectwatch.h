/// Detects callers that disconnect while their request is in progress.
#pragma once

#include <flamingograde/ids.h>

#include <functional>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Loop;

/// Watches the sockets of HTTP/1 callers for disconnection, which h2o does not check while a
/// request is in progress.
/// @remarks Not thread safe.
class DisconnectWatch
{
public:
    using Disconnected = std::function<void(ExchangeId)>;

    /// @param callback called when the caller of an exchange has disconnected; the exchange may
    /// have ended long before.
    DisconnectWatch(Loop &loop, Disconnected callback);
    ~DisconnectWatch();
    DisconnectWatch(const DisconnectWatch &) = delete;
    auto operator=(const DisconnectWatch &) -> DisconnectWatch & = delete;

    /// Watches `descriptor`, the socket of the caller of `exchange`, until a disconnection is
    /// reported or the descriptor is closed. Replaces the exchange of an earlier call with the same
    /// descriptor. Precondition: the descriptor is open.
    auto watch(int descriptor, ExchangeId exchange) -> void;

private:
    auto readAll() -> void;

    int epollDescriptor;
    st_h2o_socket_t *socket;
    Disconnected disconnected;
};

} // namespace flamingograde::net
