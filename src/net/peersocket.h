/// A websocket between two hosts, on a socket of the event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct st_h2o_socket_t;

namespace flamingograde::net {

struct PeerEndpoints;
struct PeerTraffic;

/// Which end of a websocket this is.
enum class PeerRole : std::uint8_t {
    Dialled,  ///< This host connected.
    Accepted, ///< The other host connected.
};

/// How a websocket ended.
enum class PeerEnd : std::uint8_t {
    Reset,     ///< By a socket error, such as a TCP reset.
    Closed,    ///< By a websocket close without an error code, or by the other host's TCP close.
    Malformed, ///< Because of a failed handshake or invalid input from the other host.
};

/// Sends and receives binary messages. Owns its socket.
/// @remarks Not thread safe. Must not be destroyed from within its own callbacks.
class PeerSocket
{
public:
    /// Callbacks to the owner.
    struct Callbacks
    {
        std::function<void()> onOpen;                            ///< Messages can now be sent.
        std::function<void(std::string_view)> onMessage;         ///< A complete message arrived.
        std::function<void()> onBytes;                           ///< Any bytes arrived.
        std::function<void(PeerEnd, const std::string &)> onEnd; ///< Called once, last.
    };

    /// Takes over `connection`. Precondition: `endpoints` and `counters` outlive this.
    PeerSocket(st_h2o_socket_t *connection, PeerRole end, PeerEndpoints &endpoints,
               PeerTraffic &counters, Callbacks handlers);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    auto operator=(const PeerSocket &) -> PeerSocket & = delete;

    /// Starts the handshake; callbacks may run before this returns. Precondition: called once.
    auto start() -> void;

    /// Sends a message, or drops it if the websocket is not open. Precondition: none.
    auto send(const std::vector<std::uint8_t> &message) -> void;

    /// Sends a websocket ping. Precondition: none.
    auto ping() -> void;

    /// Returns the number of bytes not yet sent.
    [[nodiscard]] auto backlog() const -> std::size_t;

private:
    struct Websocket;

    auto setHandlers() -> void;
    auto takeBytes(const char *error) -> void;
    auto write(const char *bytes, std::size_t count) -> void;
    auto flush() -> void;
    auto end(PeerEnd why, const std::string &text) -> void;

    st_h2o_socket_t *socket;
    PeerTraffic &traffic;
    Callbacks callbacks;
    PeerRole role;
    PeerEndpoints &shared;
    std::unique_ptr<Websocket> websocket;
    std::string pending;
    std::string inFlight;
    bool ended = false;
};

} // namespace flamingograde::net
