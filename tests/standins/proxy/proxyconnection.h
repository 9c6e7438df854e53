/// One connection through the proxy.
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

/// Joins an accepted connection with one to its target, under the conditions of the faults.
/// @remarks Not thread safe. Kept alive by its owner until `done` was called, and by what is
/// pending. The counters outlive it.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    using Ptr = std::shared_ptr<ProxyConnection>;
    using Done = std::function<void(const Ptr &)>;

    /// What every connection of a proxy shares.
    struct Context
    {
        Traffic &link;
        Traffic &pair;
        Done done; ///< Called once, when both ends are closed.
    };

    ProxyConnection(Tcp::socket accepted, Tcp::endpoint target, Route route, Context context);

    /// Connects and joins, unless `conditions` are against it.
    auto start(const Conditions &conditions) -> void;
    /// Changes the conditions; bytes that waited pass on when they allow it.
    auto setConditions(const Conditions &conditions) -> void;
    /// Goes silent for good: what comes is dropped, also the end of either side.
    auto lose() -> void;
    /// Resets both ends.
    auto reset() -> void;
    [[nodiscard]] auto route() const -> const Route & { return this->ends; }

private:
    /// Index of an end, and of the pipe that starts there.
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
    auto takeBytes(End end, std::string bytes) -> void;
    auto takeEnd(End end) -> void;
    auto takeEndWhenLost(End end) -> void;
    auto flush(End end) -> void;
    auto writeFirst(End end) -> bool;
    auto passEnd(End end) -> void;
    auto waitUntil(End end, Pipe::Time time) -> void;
    auto waitWritable(End end) -> void;
    auto allowed(Pipe &pipe) -> std::size_t;
    auto finish() -> void;

    std::array<Tcp::socket, 2> sockets;
    std::array<Pipe, 2> pipes;
    Tcp::endpoint target;
    Route ends;
    Context context;
    Conditions conditions;
    bool connecting = false;
    bool connected = false;
    bool lost = false;
    bool finished = false;
};

} // namespace standins
