/// The server's h2o configuration and its accepting of connections.
#include "net/httpserver.h"

#include "net/listener.h"
#include "net/loop.h"

#include <h2o.h>

#include <netinet/tcp.h>

#include <array>
#include <utility>

namespace flamingograde::net {

namespace {

constexpr std::uint64_t requestTimeoutMs = 120000; ///< For a whole request to come in.
constexpr std::uint16_t anyPort = 65535;
constexpr auto keepAliveSeconds = 5;
constexpr auto unansweredMs = 20000; ///< Longest time for bytes or probes to stay unanswered.

/// A handler of h2o with a pointer to its server.
struct HandlerSlot
{
    h2o_handler_t base;
    HttpServer::Handler *handler;
};

/// A filter of h2o that marks the server's own answers.
struct FilterSlot
{
    h2o_filter_t base;
};

auto addHeader(h2o_req_t *request, std::string_view name, std::string_view value) -> void
{
    h2o_add_header_by_str(&request->pool, &request->res.headers, name.data(), name.size(), 0,
                          nullptr, value.data(), value.size());
}

/// Says on answers that h2o gives by itself, such as 413, that nothing was run.
auto markOwnAnswer(h2o_filter_t * /*self*/, h2o_req_t *request, h2o_ostream_t **slot) -> void
{
    constexpr std::string_view verdict = "flamingograde-verdict";
    const auto marked =
            h2o_find_header_by_str(&request->res.headers, verdict.data(), verdict.size(), -1);
    if (marked == -1 && request->res.status >= 400) {
        addHeader(request, verdict, "not-run");
        if (request->res.status == 413) {
            addHeader(request, "flamingograde-reason", "too-large");
        }
    }
    h2o_setup_next_ostream(request, slot);
}

/// Has the system end a connection whose other end says nothing any more.
auto boundSilence(int descriptor) -> void
{
    const auto set = [descriptor](int level, int option, int value) {
        setsockopt(descriptor, level, option, &value, sizeof(value));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveSeconds);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unansweredMs);
}

} // namespace

/// An address that is or was listened on. Connections refer to it, so it is never destroyed.
struct HttpServer::Entrance
{
    std::array<h2o_hostconf_t *, 2> hosts {};
    h2o_accept_ctx_t accept {};
    Address tag;
    std::unique_ptr<Listener> listener;
    bool started = false; ///< The listener takes connections.
};

/// What h2o keeps for a server.
struct HttpServer::Engine
{
    h2o_globalconf_t config {};
    h2o_context_t context {};
    h2o_hostconf_t *host = nullptr;

    /// Precondition: `handler` outlives this.
    Engine(Loop &loop, std::size_t bodyMax, Handler &handler);
    static auto onRequest(h2o_handler_t *self, h2o_req_t *request) -> int;
};

HttpServer::Engine::Engine(Loop &loop, std::size_t bodyMax, Handler &handler)
{
    h2o_config_init(&this->config);
    this->config.server_name = h2o_iovec_init(H2O_STRLIT("flamingograde"));
    this->config.max_request_entity_size = bodyMax;
    this->config.http1.req_timeout = requestTimeoutMs;
    this->host =
            h2o_config_register_host(&this->config, h2o_iovec_init(H2O_STRLIT("default")), anyPort);
    auto *path = h2o_config_register_path(this->host, "/", 0);
    auto *slot = reinterpret_cast<HandlerSlot *>(h2o_create_handler(path, sizeof(HandlerSlot)));
    slot->handler = &handler;
    slot->base.on_req = &Engine::onRequest;
    auto *filter = h2o_create_filter(&this->host->fallback_path, sizeof(FilterSlot));
    filter->on_setup_ostream = &markOwnAnswer;
    h2o_context_init(&this->context, loop.raw(), &this->config);
}

auto HttpServer::Engine::onRequest(h2o_handler_t *self, h2o_req_t *request) -> int
{
    const auto *entrance = reinterpret_cast<Entrance *>(request->conn->hosts);
    (*reinterpret_cast<HandlerSlot *>(self)->handler)(request, entrance->tag);
    return 0;
}

HttpServer::HttpServer(Loop &owner, std::size_t bodyBytes, Handler callback)
    : loop(owner), bodyMax(bodyBytes), handler(std::move(callback))
{}

HttpServer::~HttpServer() = default;

auto HttpServer::bind(Address address, Address tag) -> tl::expected<Address, std::string>
{
    auto &entrance = this->entrances[tag];
    if (entrance == nullptr) {
        entrance = std::make_unique<Entrance>();
        entrance->tag = tag;
    }
    if (entrance->listener != nullptr) {
        return entrance->listener->bound();
    }
    auto bound = Listener::bind(this->loop, address,
                                [accept = &entrance->accept](st_h2o_socket_t *connection) {
                                    boundSilence(h2o_socket_get_fd(connection));
                                    h2o_accept(accept, connection);
                                });
    if (!bound) {
        return tl::unexpected(bound.error());
    }
    entrance->listener = std::move(*bound);
    entrance->started = false;
    return entrance->listener->bound();
}

auto HttpServer::start() -> void
{
    if (this->engine == nullptr) {
        this->engine = std::make_unique<Engine>(this->loop, this->bodyMax, this->handler);
    }
    for (auto &[tag, entrance] : this->entrances) {
        if (entrance->listener == nullptr || std::exchange(entrance->started, true)) {
            continue;
        }
        entrance->hosts = { this->engine->host, nullptr };
        entrance->accept.ctx = &this->engine->context;
        entrance->accept.hosts = entrance->hosts.data();
        entrance->listener->start();
    }
}

auto HttpServer::listen(Address address, Address tag) -> tl::expected<Address, std::string>
{
    auto bound = this->bind(address, tag);
    this->start();
    return bound;
}

auto HttpServer::unlisten(Address tag) -> void
{
    const auto found = this->entrances.find(tag);
    if (found != this->entrances.end()) {
        found->second->listener.reset();
    }
}

auto HttpServer::shutdown() -> void
{
    if (this->engine != nullptr) {
        h2o_context_request_shutdown(&this->engine->context);
    }
}

} // namespace flamingograde::net
