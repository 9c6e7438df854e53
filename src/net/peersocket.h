/// A websocket between two hosts, over a socket of the loop.
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
    Reset,     ///< By the other machine's system.
    Closed,    ///< In order.
    Malformed, ///< By what came over it.
};

/// Sends and receives binary messages. Owns its socket.
/// @remarks Not thread safe. Not to be destroyed from within its own callbacks.
class PeerSocket
{
public:
    /// What the user is told.
    struct Callbacks
    {
        std::function<void()> onOpen;                            ///< Messages can be sent.
        std::function<void(std::string_view)> onMessage;         ///< A whole message came.
        std::function<void()> onBytes;                           ///< Something came.
        std::function<void(PeerEnd, const std::string &)> onEnd; ///< Last.
    };

    /// Takes over `connection`. Precondition: `endpoints` and `counters` outlive this.
    PeerSocket(st_h2o_socket_t *connection, PeerRole end, PeerEndpoints &endpoints,
               PeerTraffic &counters, Callbacks told);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    auto operator=(const PeerSocket &) -> PeerSocket & = delete;

    /// Begins the handshake; callbacks may be called from within. Precondition: called once.
    auto start() -> void;

    /// Sends a message; dropped where the websocket is not open. Precondition: none.
    auto send(const std::vector<std::uint8_t> &message) -> void;

    /// Asks the other end for a sign of life. Precondition: none.
    auto ping() -> void;

    /// Returns the bytes that wait to be sent.
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
    std::string flight;
    bool ended = false;
};

} // namespace flamingograde::net
