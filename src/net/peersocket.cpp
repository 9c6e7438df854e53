/// A websocketpp websocket on an h2o socket.
#include "net/peersocket.h"

#include "net/peerendpoints.h"
#include "net/peertraffic.h"

#include <h2o.h>

#include <algorithm>
#include <utility>

namespace flamingograde::net {

namespace {

constexpr auto protocolName = "flamingograde-peer";
constexpr auto uri = "ws://flamingograde/";

auto offersProtocol(const PeerEndpoints::Connection &connection) -> bool
{
    const auto &offered = connection.get_requested_subprotocols();
    return std::find(offered.begin(), offered.end(), protocolName) != offered.end();
}

} // namespace

/// The websocketpp connection.
struct PeerSocket::Websocket
{
    PeerEndpoints::Connection::ptr connection;
};

PeerSocket::PeerSocket(st_h2o_socket_t *connection, PeerRole end, PeerEndpoints &endpoints,
                       PeerTraffic &counters, Callbacks handlers)
    : socket(connection), traffic(counters), callbacks(std::move(handlers)), role(end),
      shared(endpoints), websocket(std::make_unique<Websocket>())
{
    this->socket->data = this;
}

PeerSocket::~PeerSocket()
{
    auto &connection = this->websocket->connection;
    if (connection != nullptr) {
        connection->set_write_handler(nullptr);
        connection->set_open_handler(nullptr);
        connection->set_message_handler(nullptr);
        connection->set_fail_handler(nullptr);
        connection->set_close_handler(nullptr);
        connection->set_validate_handler(nullptr);
        connection->eof(); // Ends its pending read, which keeps the connection alive.
    }
    h2o_socket_close(this->socket);
}

auto PeerSocket::start() -> void
{
    std::error_code failed;
    auto &connection = this->websocket->connection;
    connection = this->role == PeerRole::Accepted ? this->shared.server.get_connection()
                                                  : this->shared.client.get_connection(uri, failed);
    if (connection == nullptr || failed) {
        this->end(PeerEnd::Malformed, "no websocket connection could be created");
        return;
    }
    this->setHandlers();
    h2o_socket_read_start(this->socket, [](h2o_socket_t *self, const char *error) {
        static_cast<PeerSocket *>(self->data)->takeBytes(error);
    });
    if (this->role == PeerRole::Accepted) {
        connection->start();
        return;
    }
    connection->add_subprotocol(protocolName, failed);
    this->shared.client.connect(connection);
}

auto PeerSocket::setHandlers() -> void
{
    auto &connection = this->websocket->connection;
    connection->set_write_handler(
            [this](websocketpp::connection_hdl, const char *bytes, std::size_t count) {
                this->write(bytes, count);
                return std::error_code();
            });
    connection->set_validate_handler([this](websocketpp::connection_hdl) {
        auto &asked = *this->websocket->connection;
        std::error_code failed;
        if (offersProtocol(asked)) {
            asked.select_subprotocol(protocolName, failed);
            return !failed;
        }
        return false;
    });
    connection->set_open_handler([this](websocketpp::connection_hdl) { this->callbacks.onOpen(); });
    connection->set_message_handler([this](websocketpp::connection_hdl,
                                           const PeerEndpoints::Connection::message_ptr &message) {
        this->callbacks.onMessage(message->get_payload());
    });
    connection->set_fail_handler([this](websocketpp::connection_hdl) {
        this->end(PeerEnd::Malformed, this->websocket->connection->get_ec().message());
    });
    connection->set_close_handler([this](websocketpp::connection_hdl) {
        const auto isOrderly = this->websocket->connection->get_local_close_code()
                               < websocketpp::close::status::protocol_error;
        this->end(isOrderly ? PeerEnd::Closed : PeerEnd::Malformed,
                  this->websocket->connection->get_local_close_reason());
    });
}

auto PeerSocket::takeBytes(const char *error) -> void
{
    if (error != nullptr) {
        this->end(error == h2o_socket_error_closed ? PeerEnd::Closed : PeerEnd::Reset, error);
        return;
    }
    auto *input = this->socket->input;
    this->traffic.bytesReceived += input->size;
    this->callbacks.onBytes();
    const std::string bytes(input->bytes, input->size);
    h2o_buffer_consume(&this->socket->input, input->size);
    try {
        this->websocket->connection->read_all(bytes.data(), bytes.size());
    } catch (const std::exception &thrown) {
        this->end(PeerEnd::Malformed, thrown.what());
    }
}

auto PeerSocket::send(const std::vector<std::uint8_t> &message) -> void
{
    const auto failed = this->websocket->connection->send(message.data(), message.size(),
                                                          websocketpp::frame::opcode::binary);
    if (!failed) {
        ++this->traffic.messagesSent;
    }
}

auto PeerSocket::ping() -> void
{
    std::error_code failed;
    this->websocket->connection->ping("", failed);
}

auto PeerSocket::backlog() const -> std::size_t
{
    return this->pending.size() + this->inFlight.size();
}

auto PeerSocket::write(const char *bytes, std::size_t count) -> void
{
    this->traffic.bytesSent += count;
    this->pending.append(bytes, count);
    this->flush();
}

auto PeerSocket::flush() -> void
{
    if (this->ended || this->pending.empty() || h2o_socket_is_writing(this->socket) != 0) {
        return;
    }
    this->inFlight = std::exchange(this->pending, {});
    auto buffer = h2o_iovec_init(this->inFlight.data(), this->inFlight.size());
    h2o_socket_write(this->socket, &buffer, 1, [](h2o_socket_t *self, const char *error) {
        auto *peer = static_cast<PeerSocket *>(self->data);
        peer->inFlight.clear();
        if (error != nullptr) {
            peer->end(PeerEnd::Reset, error);
            return;
        }
        peer->flush();
    });
}

auto PeerSocket::end(PeerEnd why, const std::string &text) -> void
{
    if (std::exchange(this->ended, true)) {
        return;
    }
    h2o_socket_read_stop(this->socket);
    this->callbacks.onEnd(why, text);
}

} // namespace flamingograde::net
