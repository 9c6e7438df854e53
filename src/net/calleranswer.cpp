/// Streaming of a response through an h2o generator.
#include "net/calleranswer.h"

#include <h2o.h>

#include <sys/socket.h>

#include <new>
#include <utility>

namespace flamingograde::net {

/// State in the memory pool of h2o's request: the generator and a reference to the answer.
struct CallerAnswer::Link
{
    h2o_generator_t generator {};
    std::shared_ptr<CallerAnswer> answer;
};

namespace {

constexpr auto http11Version = 0x101;
constexpr auto http2Version = 0x200;
constexpr auto abortedStatus = 503;

auto copyToPool(h2o_req_t *request, std::string_view text) -> h2o_iovec_t
{
    return h2o_strdup(&request->pool, text.data(), text.size());
}

/// Shuts the connection down at once. Up to HTTP/1.0, where a regular close marks the end of the
/// response, sets SO_LINGER instead, so that closing the socket resets the connection.
auto cutConnection(int descriptor, int version) -> void
{
    if (version >= http11Version) {
        ::shutdown(descriptor, SHUT_RDWR);
        return;
    }
    const linger reset { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

} // namespace

auto CallerAnswer::attach(st_h2o_req_t *request, Callbacks callbacks)
        -> std::shared_ptr<CallerAnswer>
{
    auto answer = std::make_shared<CallerAnswer>(request, std::move(callbacks));
    auto *memory = h2o_mem_alloc_shared(&request->pool, sizeof(Link), &CallerAnswer::detach);
    answer->link = new (memory) Link;
    answer->link->answer = answer;
    answer->link->generator.proceed = [](h2o_generator_t *generator, h2o_req_t * /*request*/) {
        reinterpret_cast<Link *>(generator)->answer->proceed();
    };
    return answer;
}

CallerAnswer::CallerAnswer(st_h2o_req_t *incoming, Callbacks handlers)
    : request(incoming), callbacks(std::move(handlers))
{}

auto CallerAnswer::detach(void *memory) -> void
{
    auto *link = static_cast<Link *>(memory);
    const auto answer = std::move(link->answer);
    link->~Link();
    answer->requestDisposed();
}

auto CallerAnswer::requestDisposed() -> void
{
    const auto whole = this->finalSent && !this->aborted;
    this->request = nullptr;
    this->link = nullptr;
    this->pending.clear();
    const auto handlers = std::exchange(this->callbacks, {});
    if (handlers.onClosed) {
        handlers.onClosed(whole);
    }
}

auto CallerAnswer::start(const HttpHead &head) -> void
{
    if (this->request == nullptr || this->started) {
        return;
    }
    this->started = true;
    this->request->res.status = head.status;
    this->request->res.reason = head.status < 400 ? "OK" : "Refused";
    if (head.contentLength) {
        this->request->res.content_length = *head.contentLength;
    }
    for (const auto &[name, value] : head.headers) {
        const auto key = copyToPool(this->request, name);
        const auto text = copyToPool(this->request, value);
        h2o_add_header_by_str(&this->request->pool, &this->request->res.headers, key.base, key.len,
                              1, nullptr, text.base, text.len);
    }
    h2o_start_response(this->request, &this->link->generator);
}

auto CallerAnswer::write(std::string_view bytes) -> void
{
    if (this->request == nullptr || this->ended || this->aborted) {
        return;
    }
    this->pending.append(bytes);
    this->pump();
}

auto CallerAnswer::end(std::string_view bytes) -> void
{
    if (this->request != nullptr && !this->aborted) {
        this->pending.append(bytes);
        this->ended = true;
        this->pump();
    }
}

auto CallerAnswer::abort() -> void
{
    if (this->request == nullptr || this->finalSent) {
        return;
    }
    this->aborted = true;
    this->pending.clear();
    const auto descriptor = this->http1Descriptor();
    if (!this->started) {
        this->request->http1_is_persistent = 0;
        this->start({ abortedStatus, {}, std::size_t(0) });
    }
    if (descriptor >= 0) {
        cutConnection(descriptor, this->request->version);
    }
    this->pump();
}

auto CallerAnswer::http1Descriptor() const -> int
{
    if (this->request == nullptr || this->request->version >= http2Version) {
        return -1;
    }
    auto *socket = this->request->conn->callbacks->get_socket(this->request->conn);
    return socket == nullptr ? -1 : h2o_socket_get_fd(socket);
}

auto CallerAnswer::proceed() -> void
{
    const auto keep = this->shared_from_this();
    this->inFlight = false;
    this->sending.clear();
    if (this->pending.empty() && !this->ended && !this->aborted && this->callbacks.onDrained) {
        this->callbacks.onDrained();
    }
    this->pump();
}

auto CallerAnswer::pump() -> void
{
    if (this->request == nullptr || !this->started || this->inFlight || this->finalSent) {
        return;
    }
    const auto keep = this->shared_from_this();
    if (this->aborted) {
        this->finalSent = true;
        h2o_send(this->request, nullptr, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    if (this->pending.empty() && !this->ended) {
        return;
    }
    this->inFlight = true;
    this->finalSent = this->ended;
    this->sending.swap(this->pending);
    auto bytes = h2o_iovec_init(this->sending.data(), this->sending.size());
    const auto state = this->ended ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;
    h2o_send(this->request, &bytes, this->sending.empty() ? 0 : 1, state);
}

} // namespace flamingograde::net
