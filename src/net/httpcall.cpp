/// A call on h2o's HTTP client over a connection made here.
#include "net/httpcall.h"

#include "net/httpclient.h"
#include "net/loop.h"

#include <flamingograde/config.h>

#include <h2o.h>

#include <algorithm>
#include <utility>

namespace flamingograde::net {

namespace {

/// Hands a connected socket to `pool`, so that the next call on it takes the socket.
auto giveToPool(st_h2o_socketpool_t *pool, h2o_socket_t *socket) -> bool
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

/// The callbacks of h2o's client.
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
        if (call->pooled) {
            call->pooled = false;
            call->connect();
        } else {
            call->end(CallEnd::NotSent);
        }
        return nullptr;
    }
    if (!call->mayWrite()) {
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
    call->takeHead(status, headers, count);
    if (noBody) {
        call->closeIfFresh();
        call->raw = nullptr;
        call->end(CallEnd::Whole);
        return nullptr;
    }
    return &ClientCallbacks::onBody;
}

auto ClientCallbacks::onBody(h2o_http1client_t *client, const char *error) -> int
{
    static_cast<HttpCall *>(client->data)->takeBody(error);
    return 0;
}

HttpCall::HttpCall(HttpClient &owner, HttpRequest sent, CallHandlers told)
    : client(owner), request(std::move(sent)), handlers(std::move(told)), lastByte(Loop::now().mono)
{}

HttpCall::~HttpCall()
{
    this->drop();
}

auto HttpCall::start() -> void
{
    this->deadline =
            this->client.eventLoop().after(this->request.timeout, [this] { this->timeOut(); });
    this->watchSilence();
    auto *pool = this->request.fresh ? nullptr : this->client.poolOf(this->request.target);
    if (pool == nullptr || isEmpty(pool)) {
        this->connect();
        return;
    }
    this->pooled = true;
    this->runOn(pool);
}

auto HttpCall::breakOff() -> void
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
    auto *pool = this->request.fresh ? this->client.handOver()
                                     : this->client.poolOf(this->request.target);
    if (!giveToPool(pool, socket)) {
        this->end(CallEnd::NotSent);
        return;
    }
    this->runOn(pool);
}

auto HttpCall::runOn(st_h2o_socketpool_t *pool) -> void
{
    h2o_http1client_connect_with_pool(&this->raw, this, this->client.context(), pool,
                                      &ClientCallbacks::onConnect);
}

auto HttpCall::mayWrite() const -> bool
{
    return !this->request.notAfter || Loop::now().wall <= *this->request.notAfter;
}

auto HttpCall::takeHead(int status, st_h2o_header_t *headers, std::size_t count) -> void
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
    this->handlers.onHead(std::move(head));
}

auto HttpCall::takeBytes() -> void
{
    auto *input = this->raw->sock->input;
    if (input->size == 0) {
        return;
    }
    this->lastByte = Loop::now().mono;
    this->handlers.onBody({ input->bytes, input->size });
    h2o_buffer_consume(&this->raw->sock->input, this->raw->sock->input->size);
}

auto HttpCall::takeBody(const char *error) -> void
{
    this->takeBytes();
    if (error == nullptr) {
        return;
    }
    const auto whole = error == h2o_http1client_error_is_eos && !this->isCutAtChunk();
    if (whole) {
        this->closeIfFresh();
    }
    this->raw = nullptr;
    this->end(whole ? CallEnd::Whole : CallEnd::Cut);
}

/// Closes a connection for one call, which h2o would keep for others.
auto HttpCall::closeIfFresh() -> void
{
    if (this->request.fresh) {
        h2o_socket_close(h2o_http1client_steal_socket(this->raw));
    }
}

auto HttpCall::isCutAtChunk() const -> bool
{
    // h2o takes the end of a connection between two chunks for the end of the answer. The real end,
    // the last chunk, comes with bytes.
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
        this->end(CallEnd::Cut);
        return;
    case Stage::Ended:
        return;
    }
}

auto HttpCall::watchSilence() -> void
{
    if (this->request.silence <= Duration(0)) {
        return;
    }
    const auto quiet = Loop::now().mono - this->lastByte;
    if (quiet >= this->request.silence && this->stoppedRead == nullptr) {
        this->timeOut();
        return;
    }
    const auto wait = std::max<Duration>(this->request.silence - quiet, config::tickPeriod);
    this->silence = this->client.eventLoop().after(wait, [this] { this->watchSilence(); });
}

auto HttpCall::pause() -> void
{
    if (this->stage != Stage::Reading || this->stoppedRead != nullptr || this->raw == nullptr) {
        return;
    }
    this->stoppedRead = this->raw->sock->_cb.read;
    h2o_socket_read_stop(this->raw->sock);
}

auto HttpCall::resume() -> void
{
    if (this->stoppedRead == nullptr || this->raw == nullptr) {
        return;
    }
    this->lastByte = Loop::now().mono;
    h2o_socket_read_start(this->raw->sock, std::exchange(this->stoppedRead, nullptr));
}

auto HttpCall::drop() -> void
{
    this->connector.reset();
    if (this->raw != nullptr) {
        h2o_http1client_cancel(std::exchange(this->raw, nullptr));
    }
}

} // namespace flamingograde::net
