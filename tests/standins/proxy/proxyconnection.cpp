#include "standins/proxy/proxyconnection.h"

#include "standins/common/endpoint.h"
#include "standins/proxy/traffic.h"

#include <algorithm>
#include <utility>

namespace standins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t readSizeMax = 65536;        ///< Largest read, in bytes.
constexpr std::size_t queuedBytesMax = 1U << 20U; ///< Queued bytes at which reading stops.
/// Time between writes under a rate limit.
constexpr auto rateLimitInterval = std::chrono::milliseconds(10);

auto isTransient(const ErrorCode &error) -> bool
{
    return error == asio::error::would_block || error == asio::error::try_again
           || error == asio::error::interrupted;
}

} // namespace

ProxyConnection::ProxyConnection(Tcp::socket accepted, Tcp::endpoint target, Route route,
                                 Context context)
    : sockets { Tcp::socket(accepted.get_executor()), Tcp::socket(accepted.get_executor()) },
      target(std::move(target)), endpoints(std::move(route)), context(std::move(context))
{
    this->sockets[Accepted] = std::move(accepted);
}

auto ProxyConnection::start(const Conditions &conditions) -> void
{
    for (Traffic *traffic : { &this->context.linkTraffic, &this->context.pairTraffic }) {
        ++traffic->connections;
        ++traffic->open;
    }
    this->conditions = conditions;
    if (conditions.cut) {
        this->refuse();
        return;
    }
    this->resume();
}

auto ProxyConnection::setConditions(const Conditions &conditions) -> void
{
    this->conditions = conditions;
    if (conditions.cut) {
        this->reset();
        return;
    }
    this->resume();
}

auto ProxyConnection::blackhole() -> void
{
    if (!this->connected) {
        return;
    }
    this->blackholed = true;
    for (const End end : { Accepted, Target }) {
        this->pipes[end].items.clear();
        this->read(end);
    }
}

auto ProxyConnection::reset() -> void
{
    if (this->finished) {
        return;
    }
    ++this->context.linkTraffic.reset;
    ++this->context.pairTraffic.reset;
    for (Tcp::socket &socket : this->sockets) {
        resetSocket(socket);
    }
    this->finish();
}

auto ProxyConnection::refuse() -> void
{
    ++this->context.linkTraffic.refused;
    ++this->context.pairTraffic.refused;
    for (Tcp::socket &socket : this->sockets) {
        resetSocket(socket);
    }
    this->finish();
}

auto ProxyConnection::connect() -> void
{
    this->connecting = true;
    ErrorCode error;
    Tcp::socket &socket = this->sockets[Target];
    // The target sees the IP address of the source, as it does behind the network fabric.
    bindSource(socket, this->endpoints.source, error);
    if (error) {
        this->refuse();
        return;
    }
    socket.async_connect(this->target, [self = this->shared_from_this()](ErrorCode failed) {
        if (self->finished) {
            return;
        }
        if (failed) {
            self->refuse();
            return;
        }
        for (Tcp::socket &each : self->sockets) {
            ErrorCode ignored;
            each.set_option(Tcp::no_delay(true), ignored);
            each.non_blocking(true, ignored);
        }
        self->connected = true;
        self->resume();
    });
}

auto ProxyConnection::resume() -> void
{
    if (this->finished || this->conditions.silent) {
        return;
    }
    if (!this->connected) {
        if (!this->connecting) {
            this->connect();
        }
        return;
    }
    for (const End end : { Accepted, Target }) {
        this->flush(end);
        this->read(end);
    }
}

auto ProxyConnection::read(End end) -> void
{
    Pipe &pipe = this->pipes[end];
    if (this->finished || pipe.readPending || pipe.eofReceived
        || pipe.queuedBytes >= queuedBytesMax) {
        return;
    }
    pipe.readPending = true;
    this->sockets[end].async_wait(Tcp::socket::wait_read,
                                  [self = this->shared_from_this(), end](ErrorCode error) {
                                      self->pipes[end].readPending = false;
                                      if (!error && !self->finished) {
                                          self->readNow(end);
                                      }
                                  });
}

auto ProxyConnection::readNow(End end) -> void
{
    if (this->conditions.silent && !this->blackholed) {
        return;
    }
    static std::array<char, readSizeMax> bytes;
    ErrorCode error;
    const std::size_t size = this->sockets[end].read_some(asio::buffer(bytes), error);
    if (error && !isTransient(error)) {
        if (this->blackholed) {
            this->closeWhenBlackholed(end);
        } else if (error == asio::error::eof) {
            this->queueEof(end);
        } else {
            this->reset();
        }
        return;
    }
    if (!error && !this->blackholed) {
        this->queueBytes(end, std::string(bytes.data(), size));
    }
    this->read(end);
}

auto ProxyConnection::queueBytes(End end, std::string bytes) -> void
{
    Pipe &pipe = this->pipes[end];
    for (Traffic *traffic : { &this->context.linkTraffic, &this->context.pairTraffic }) {
        (end == Accepted ? traffic->bytesTo : traffic->bytesFrom) += bytes.size();
    }
    pipe.queuedBytes += bytes.size();
    pipe.items.push_back({ Clock::now() + this->conditions.delay, std::move(bytes) });
    this->flush(end);
}

auto ProxyConnection::queueEof(End end) -> void
{
    Pipe &pipe = this->pipes[end];
    pipe.eofReceived = true;
    pipe.items.push_back({ Clock::now() + this->conditions.delay, {} });
    this->flush(end);
}

auto ProxyConnection::closeWhenBlackholed(End end) -> void
{
    ErrorCode ignored;
    this->pipes[end].eofReceived = true;
    this->sockets[end].close(ignored);
    if (!this->sockets[other(end)].is_open()) {
        this->finish();
    }
}

auto ProxyConnection::flush(End end) -> void
{
    Pipe &pipe = this->pipes[end];
    while (!this->finished && !this->blackholed && !this->conditions.silent && !pipe.writePending
           && !pipe.timerPending && !pipe.items.empty()) {
        const Pipe::Item &first = pipe.items.front();
        if (first.due > Clock::now()) {
            this->waitUntil(end, first.due);
            return;
        }
        if (first.bytes.empty()) {
            this->forwardEof(end);
            return;
        }
        if (!this->writeFirst(end)) {
            return;
        }
    }
}

/// Writes as much of the first item as the rate limit and the socket accept.
/// @returns whether the whole item was written.
auto ProxyConnection::writeFirst(End end) -> bool
{
    Pipe &pipe = this->pipes[end];
    std::string &bytes = pipe.items.front().bytes;
    const std::size_t size = std::min(bytes.size(), this->refillTokens(pipe));
    if (size == 0) {
        this->waitUntil(end, Clock::now() + rateLimitInterval);
        return false;
    }
    ErrorCode error;
    const std::size_t written =
            this->sockets[other(end)].write_some(asio::buffer(bytes.data(), size), error);
    if (error && !isTransient(error)) {
        this->reset();
        return false;
    }
    pipe.queuedBytes -= written;
    pipe.tokens -= static_cast<double>(written);
    if (written == bytes.size()) {
        pipe.items.pop_front();
        this->read(end);
        return true;
    }
    bytes.erase(0, written);
    if (written < size) {
        this->waitWritable(end);
    } else {
        this->waitUntil(end, Clock::now() + rateLimitInterval);
    }
    return false;
}

auto ProxyConnection::forwardEof(End end) -> void
{
    Pipe &pipe = this->pipes[end];
    ErrorCode ignored;
    this->sockets[other(end)].shutdown(Tcp::socket::shutdown_send, ignored);
    pipe.items.clear();
    pipe.eofForwarded = true;
    if (this->pipes[other(end)].eofForwarded) {
        for (Tcp::socket &socket : this->sockets) {
            socket.close(ignored);
        }
        this->finish();
    }
}

auto ProxyConnection::waitUntil(End end, Pipe::Time time) -> void
{
    Pipe &pipe = this->pipes[end];
    if (!pipe.timer) {
        pipe.timer = std::make_unique<asio::steady_timer>(this->sockets[end].get_executor());
    }
    pipe.timerPending = true;
    pipe.timer->expires_at(time);
    pipe.timer->async_wait([self = this->shared_from_this(), end](ErrorCode) {
        self->pipes[end].timerPending = false;
        self->flush(end);
    });
}

auto ProxyConnection::waitWritable(End end) -> void
{
    this->pipes[end].writePending = true;
    this->sockets[other(end)].async_wait(Tcp::socket::wait_write,
                                         [self = this->shared_from_this(), end](ErrorCode error) {
                                             self->pipes[end].writePending = false;
                                             if (!error) {
                                                 self->flush(end);
                                             }
                                         });
}

/// Refills the token bucket of `pipe`.
/// @returns how many bytes the rate limit allows to be written now.
auto ProxyConnection::refillTokens(Pipe &pipe) -> std::size_t
{
    const double rate = this->conditions.bytesPerSecond;
    if (rate <= 0) {
        return readSizeMax;
    }
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - pipe.tokensRefilledAt;
    const std::chrono::duration<double> burstTime = 2 * rateLimitInterval;
    const double burstBytes = std::max(1.0, rate * burstTime.count());
    pipe.tokens = std::min(burstBytes, std::max(0.0, pipe.tokens) + rate * passed.count());
    pipe.tokensRefilledAt = now;
    return static_cast<std::size_t>(pipe.tokens);
}

auto ProxyConnection::finish() -> void
{
    if (this->finished) {
        return;
    }
    this->finished = true;
    --this->context.linkTraffic.open;
    --this->context.pairTraffic.open;
    for (Pipe &pipe : this->pipes) {
        if (pipe.timer) {
            pipe.timer->cancel();
        }
    }
    this->context.onFinished(this->shared_from_this());
}

} // namespace standins
