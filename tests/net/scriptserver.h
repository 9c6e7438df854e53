/// A server that answers each connection with bytes given in advance.
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

/// What a connection does once its answer is sent.
enum class Afterwards : std::uint8_t {
    Keep,
    Close, ///< In order.
    Reset,
};

/// Answers every request head with the same bytes.
class ScriptServer
{
public:
    ScriptServer(Loop &loop, std::string bytes, Afterwards then);
    ~ScriptServer();
    ScriptServer(const ScriptServer &) = delete;
    auto operator=(const ScriptServer &) -> ScriptServer & = delete;

    [[nodiscard]] auto address() const -> Address;

    std::string received;         ///< On all connections.
    std::vector<Address> sources; ///< Of the connections.

    /// Closes every connection that is open. Not from a callback.
    auto closeAll() -> void;

private:
    struct Connection;

    auto accept(st_h2o_socket_t *socket) -> void;
    auto answer(Connection &connection) -> void;

    std::string script;
    Afterwards afterwards;
    std::unique_ptr<Listener> listener;
    std::vector<std::unique_ptr<Connection>> connections;
};

} // namespace flamingograde::net
