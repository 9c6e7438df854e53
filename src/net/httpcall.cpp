/// Runs a call with h2o's HTTP client over a connection opened by `Connector`.
#include "net/httpcall.h"

#include "net/httpclient.h"
#include "net/loop.h"

#include <flamingograde/config.h>

#include <h2o.h>

#include <algorithm>
#include <utility>

namespace flamingograde::net {

namespace {

/// Adds a connected socket to `pool`, so that the next call that uses the pool gets this socket.
auto addToPool(st_h2o_socketpool_t *pool, h2o_socket_t *socket) -> bool
{
    socket->on_close.data = pool;
    ++pool->_shared.count;
    return h2o_socketpool_return(pool, socket) == 0;
}

auto isEmpty(st_h2o_socketpool_t *pool) -> bool
{
    return h2o_linklist_is_empty(&pool->_shared.sockets) != 0;
}

auto toView(h2o_iovec_t bytes) -> std::string_view
{
    return { bytes.base, bytes.len };
}

} // namespace

/// Callbacks for h2o's HTTP client.
struct ClientCallbacks
{
    static auto onConnect(h2o_http1client_t *client, const char *error, h2o_iovec_t **buffers,
                          std::size_t *count, int *isHead) -> h2o_http1client_head_cb;
    static auto onHead(h2o_http1client_t *client, const char *error, int minor, int status,
                       h2o_iovec_t message, h2o_header_t *headers, std::size_t count, int length)
            -> h2o_http1client_body_cb;
    static auto onBody(h2o_http1client_t *client, const char *error) -> int;
};

auto ClientCallbacks::onConnect(h2o_http1client_t *client, const char *error, h2o_iovec_t **buffers,
                                std::size_t *count, int *isHead) -> h2o_http1client_head_cb
{
    auto *call = static_cast<HttpCall *>(client->data);
    call->raw = client;
    if (error != nullptr) {
        call->raw = nullptr;
        if (call->reusesConnection) {
            call->reusesConnection = false;
            call->connect();
        } else {
            call->end(CallEnd::NotSent);
        }
        return nullptr;
    }
    if (!call->isBeforeWriteDeadline()) {
        call->raw = nullptr;
        call->end(CallEnd::NotSent);
        return nullptr;
    }
    call->stage = HttpCall::Stage::Waiting;
    call->buffers[0] = h2o_iovec_init(call->request.head.data(), call->request.head.size());
    *count = 1;
    if (call->request.body != nullptr && !call->request.body->empty()) {
        call->buffers[1] = h2o_iovec_init(call->request.body->data(), call->request.body->size());
        *count = 2;
    }
    *buffers = call->buffers.data();
    *isHead = call->request.isHead ? 1 : 0;
    return &ClientCallbacks::onHead;
}

auto ClientCallbacks::onHead(h2o_http1client_t *client, const char *error, int /*minor*/,
                             int status, h2o_iovec_t /*message*/, h2o_header_t *headers,
                             std::size_t count, int /*length*/) -> h2o_http1client_body_cb
{
    auto *call = static_cast<HttpCall *>(client->data);
    const auto noBody = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !noBody) {
        call->raw = nullptr;
        call->end(CallEnd::Lost);
        return nullptr;
    }
    call->handleHead(status, headers, count);
    if (noBody) {
        call->closeIfFresh();
        call->raw = nullptr;
        call->end(CallEnd::Complete);
        return nullptr;
    }
    return &ClientCallbacks::onBody;
}

auto ClientCallbacks::onBody(h2o_http1client_t *client, const char *error) -> int
{
    static_cast<HttpCall *>(client->data)->handleBody(error);
    return 0;
}

HttpCall::HttpCall(HttpClient &owner, HttpRequest outgoing, CallHandlers callbacks)
    : client(owner), request(std::move(outgoing)), handlers(std::move(callbacks)),
      lastByte(Loop::now().mono)
{}

HttpCall::~HttpCall()
{
    this->drop();
}

auto HttpCall::start() -> void
{
    this->deadline =
            this->client.eventLoop().after(this->request.timeout, [this] { this->timeOut(); });
    this->checkSilence();
    auto *pool = this->request.newConnection ? nullptr : this->client.poolOf(this->request.target);
    if (pool == nullptr || isEmpty(pool)) {
        this->connect();
        return;
    }
    this->reusesConnection = true;
    this->sendOverPool(pool);
}

auto HttpCall::expire() -> void
{
    this->deadline = this->client.eventLoop().after(Duration(0), [this] { this->timeOut(); });
}

auto HttpCall::connect() -> void
{
    const Duration longest = config::connectTimeout;
    this->connector = std::make_unique<Connector>(
            this->client.eventLoop(), this->client.sourceAddress(), this->request.target,
            std::min(longest, this->request.timeout),
            [this](st_h2o_socket_t *socket, int error) { this->connected(socket, error); });
}

auto HttpCall::connected(st_h2o_socket_t *socket, int error) -> void
{
    if (socket == nullptr) {
        this->end(CallEnd::NotSent, error);
        return;
    }
    auto *pool = this->request.newConnection ? this->client.poolForNewConnection()
                                             : this->client.poolOf(this->request.target);
    if (!addToPool(pool, socket)) {
        this->end(CallEnd::NotSent);
        return;
    }
    this->sendOverPool(pool);
}

auto HttpCall::sendOverPool(st_h2o_socketpool_t *pool) -> void
{
    h2o_http1client_connect_with_pool(&this->raw, this, this->client.context(), pool,
                                      &ClientCallbacks::onConnect);
}

auto HttpCall::isBeforeWriteDeadline() const -> bool
{
    return !this->request.writeDeadline || Loop::now().wall <= *this->request.writeDeadline;
}

auto HttpCall::handleHead(int status, st_h2o_header_t *headers, std::size_t count) -> void
{
    HttpHead head;
    head.status = status;
    for (std::size_t index = 0; index < count; ++index) {
        const auto name = toView(*headers[index].name);
        const auto value = toView(headers[index].value);
        if (name == "content-length") {
            const auto length = h2o_strtosize(value.data(), value.size());
            if (length != SIZE_MAX) {
                head.contentLength = length;
            }
            continue;
        }
        this->chunked = this->chunked || name == "transfer-encoding";
        head.headers.emplace_back(name, value);
    }
    this->stage = Stage::Reading;
    this->lastByte = Loop::now().mono;
    this->restartBodyTimeout();
    this->handlers.onHead(std::move(head));
}

auto HttpCall::takeBytes() -> void
{
    auto *input = this->raw->sock->input;
    if (input->size == 0) {
        return;
    }
    this->lastByte = Loop::now().mono;
    this->restartBodyTimeout();
    this->handlers.onBody({ input->bytes, input->size });
    h2o_buffer_consume(&this->raw->sock->input, this->raw->sock->input->size);
}

auto HttpCall::handleBody(const char *error) -> void
{
    this->takeBytes();
    if (error == nullptr) {
        return;
    }
    const auto whole = error == h2o_http1client_error_is_eos && !this->isClosedBetweenChunks();
    if (whole) {
        this->closeIfFresh();
    }
    this->raw = nullptr;
    this->end(whole ? CallEnd::Complete : CallEnd::Truncated);
}

/// Closes the connection of a call with `newConnection` set, which h2o would otherwise keep in the
/// pool.
auto HttpCall::closeIfFresh() -> void
{
    if (this->request.newConnection) {
        h2o_socket_close(h2o_http1client_steal_socket(this->raw));
    }
}

auto HttpCall::isClosedBetweenChunks() const -> bool
{
    // h2o reports a connection closed between two chunks as a regular end of the response. At the
    // real end, bytes were read: those of the last chunk.
    return this->chunked && this->raw->sock->bytes_read == 0;
}

auto HttpCall::end(CallEnd end, int error) -> void
{
    if (this->stage == Stage::Ended) {
        return;
    }
    this->stage = Stage::Ended;
    this->deadline.cancel();
    this->silence.cancel();
    this->handlers.onEnd(end, error);
}

auto HttpCall::timeOut() -> void
{
    const auto stageBefore = this->stage;
    this->drop();
    switch (stageBefore) {
    case Stage::Connecting:
        this->end(CallEnd::NotSent);
        return;
    case Stage::Waiting:
        this->end(CallEnd::Lost);
        return;
    case Stage::Reading:
        this->end(CallEnd::Truncated);
        return;
    case Stage::Ended:
        return;
    }
}

auto HttpCall::restartBodyTimeout() -> void
{
    if (this->request.bodyTimeout > Duration(0)) {
        this->deadline = this->client.eventLoop().after(this->request.bodyTimeout,
                                                        [this] { this->timeOut(); });
    }
}

auto HttpCall::checkSilence() -> void
{
    if (this->request.silence <= Duration(0)) {
        return;
    }
    const auto idle = Loop::now().mono - this->lastByte;
    if (idle >= this->request.silence && this->pausedReadCallback == nullptr) {
        this->timeOut();
        return;
    }
    const auto wait = std::max<Duration>(this->request.silence - idle, config::tickPeriod);
    this->silence = this->client.eventLoop().after(wait, [this] { this->checkSilence(); });
}

auto HttpCall::pause() -> void
{
    if (this->stage != Stage::Reading || this->pausedReadCallback != nullptr
        || this->raw == nullptr) {
        return;
    }
    this->pausedReadCallback = this->raw->sock->_cb.read;
    h2o_socket_read_stop(this->raw->sock);
}

auto HttpCall::resume() -> void
{
    if (this->pausedReadCallback == nullptr || this->raw == nullptr) {
        return;
    }
    this->lastByte = Loop::now().mono;
    h2o_socket_read_start(this->raw->sock, std::exchange(this->pausedReadCallback, nullptr));
}

auto HttpCall::drop() -> void
{
    this->connector.reset();
    if (this->raw != nullptr) {
        h2o_http1client_cancel(std::exchange(this->raw, nullptr));
    }
}

} // namespace flamingograde::net
