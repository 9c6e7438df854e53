/// A test server that answers every request with a fixed byte string.
#include "scriptserver.h"

#include "net/listener.h"
#include "net/loop.h"
#include "net/socketaddress.h"

#include <h2o.h>

#include <catch2/catch.hpp>

#include <utility>

namespace flamingograde::net {

/// One connection; `socket` is null after `close`.
struct ScriptServer::Connection
{
    ScriptServer *server;
    st_h2o_socket_t *socket;

    auto close() -> void
    {
        if (this->socket != nullptr) {
            h2o_socket_close(std::exchange(this->socket, nullptr));
        }
    }
};

ScriptServer::ScriptServer(Loop &loop, std::string bytes, AfterAnswer after)
    : script(std::move(bytes)), afterAnswer(after)
{
    auto opened = Listener::open(loop, *Address::parse("127.0.0.1:0"),
                                 [this](st_h2o_socket_t *socket) { this->accept(socket); });
    REQUIRE(opened);
    this->listener = std::move(*opened);
}

ScriptServer::~ScriptServer()
{
    this->closeAll();
}

auto ScriptServer::address() const -> Address
{
    return this->listener->bound();
}

auto ScriptServer::closeAll() -> void
{
    for (auto &connection : this->connections) {
        connection->close();
    }
}

auto ScriptServer::answerWith(std::string bytes, AfterAnswer after) -> void
{
    this->script = std::move(bytes);
    this->afterAnswer = after;
}

auto ScriptServer::sendMore(const std::string &bytes) -> void
{
    auto buffer = h2o_iovec_init(bytes.data(), bytes.size());
    for (auto &connection : this->connections) {
        if (connection->socket != nullptr) {
            h2o_socket_write(connection->socket, &buffer, 1, [](h2o_socket_t *, const char *) {});
        }
    }
}

auto ScriptServer::accept(st_h2o_socket_t *socket) -> void
{
    sockaddr_in name {};
    h2o_socket_getpeername(socket, reinterpret_cast<sockaddr *>(&name));
    this->sources.push_back(fromSockaddr(name));
    this->connections.push_back(std::make_unique<Connection>(Connection { this, socket }));
    socket->data = this->connections.back().get();
    h2o_socket_read_start(socket, [](h2o_socket_t *self, const char *error) {
        auto *connection = static_cast<Connection *>(self->data);
        if (error != nullptr) {
            connection->close();
            return;
        }
        auto &received = connection->server->received;
        received.append(self->input->bytes, self->input->size);
        h2o_buffer_consume(&self->input, self->input->size);
        if (received.size() >= 4 && received.substr(received.size() - 4) == "\r\n\r\n") {
            connection->server->answer(*connection);
        }
    });
}

auto ScriptServer::answer(Connection &connection) -> void
{
    auto buffer = h2o_iovec_init(this->script.data(), this->script.size());
    h2o_socket_write(connection.socket, &buffer, 1, [](h2o_socket_t *self, const char *) {
        auto *written = static_cast<Connection *>(self->data);
        switch (written->server->afterAnswer) {
        case AfterAnswer::Keep:
            return;
        case AfterAnswer::Reset: {
            const linger reset { 1, 0 };
            setsockopt(h2o_socket_get_fd(self), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            [[fallthrough]];
        }
        case AfterAnswer::Close:
            written->close();
        }
    });
}

} // namespace flamingograde::net
