/// A connection that is forwarded by the proxy.
#pragma once

#include "standins/common/asio.h"
#include "standins/proxy/conditions.h"
#include "standins/proxy/pipe.h"
#include "standins/proxy/route.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>

namespace standins {

struct Traffic;

/// Forwards bytes between an accepted connection and one to its target, under the conditions that
/// the active faults set.
/// @remarks Not thread safe. Kept alive by its owner until `onFinished` is called, and by its
/// pending operations. The traffic counters must outlive it.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    using Ptr = std::shared_ptr<ProxyConnection>;
    using FinishedHandler = std::function<void(const Ptr &)>;

    /// The counters that a connection updates and the callback to its owner.
    struct Context
    {
        Traffic &linkTraffic;
        Traffic &pairTraffic;
        FinishedHandler onFinished; ///< Called once, when both ends are closed.
    };

    ProxyConnection(Tcp::socket accepted, Tcp::endpoint target, Route route, Context context);

    /// Connects to the target and starts forwarding. Refuses the connection if `conditions` cut it;
    /// waits if they silence it.
    auto start(const Conditions &conditions) -> void;
    /// Changes the conditions. A cut resets the connection; queued bytes are forwarded as soon as
    /// the conditions allow it.
    auto setConditions(const Conditions &conditions) -> void;
    /// Drops all data from now on and doesn't forward the close of either end. Has no effect before
    /// the connection to the target is established.
    auto blackhole() -> void;
    /// Closes both ends with a TCP reset.
    auto reset() -> void;
    [[nodiscard]] auto route() const -> const Route & { return this->endpoints; }

private:
    /// Index of an end of the connection, and of the pipe that reads from it.
    enum End : std::size_t {
        Accepted,
        Target
    };

    static auto other(End end) -> End { return end == Accepted ? Target : Accepted; }
    auto connect() -> void;
    auto refuse() -> void;
    auto resume() -> void;
    auto read(End end) -> void;
    auto readNow(End end) -> void;
    auto queueBytes(End end, std::string bytes) -> void;
    auto queueEof(End end) -> void;
    auto closeWhenBlackholed(End end) -> void;
    auto flush(End end) -> void;
    auto writeFirst(End end) -> bool;
    auto forwardEof(End end) -> void;
    auto waitUntil(End end, Pipe::Time time) -> void;
    auto waitWritable(End end) -> void;
    auto refillTokens(Pipe &pipe) -> std::size_t;
    auto finish() -> void;

    std::array<Tcp::socket, 2> sockets;
    std::array<Pipe, 2> pipes;
    Tcp::endpoint target;
    Route endpoints;
    Context context;
    Conditions conditions;
    bool connecting = false;
    bool connected = false;
    bool blackholed = false;
    bool finished = false;
};

} // namespace standins
