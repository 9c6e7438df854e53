/// A test server that answers every request with a fixed byte string.
#pragma once

#include <flamingograde/address.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

struct st_h2o_socket_t;

namespace flamingograde::net {

class Listener;
class Loop;

/// What the server does with a connection after sending the answer.
enum class AfterAnswer : std::uint8_t {
    Keep,
    Close, ///< The server closes it with a TCP FIN.
    Reset,
};

/// Answers with the same bytes whenever the received data ends in an empty line.
class ScriptServer
{
public:
    ScriptServer(Loop &loop, std::string bytes, AfterAnswer after);
    ~ScriptServer();
    ScriptServer(const ScriptServer &) = delete;
    auto operator=(const ScriptServer &) -> ScriptServer & = delete;

    [[nodiscard]] auto address() const -> Address;

    std::string received;         ///< Bytes received on all connections.
    std::vector<Address> sources; ///< Source address of each connection.

    /// Answers later requests with `bytes`, and then does `after`.
    auto answerWith(std::string bytes, AfterAnswer after) -> void;

    /// Sends further bytes on every open connection. Must not be called while an earlier write is
    /// in progress.
    auto sendMore(const std::string &bytes) -> void;

    /// Closes every open connection. Must not be called from a callback.
    auto closeAll() -> void;

private:
    struct Connection;

    auto accept(st_h2o_socket_t *socket) -> void;
    auto answer(Connection &connection) -> void;

    std::string script;
    AfterAnswer afterAnswer;
    std::unique_ptr<Listener> listener;
    std::vector<std::unique_ptr<Connection>> connections;
};

} // namespace flamingograde::net
