#include "standins/proxy/proxyconnection.h"

#include "standins/common/endpoint.h"
#include "standins/proxy/traffic.h"

#include <algorithm>
#include <utility>

namespace standins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t readMax = 65536;                      ///< Bytes of one read.
constexpr std::size_t queueMax = 1U << 20U;                 ///< Bytes queued before reading stops.
constexpr auto limitPeriod = std::chrono::milliseconds(10); ///< Between writes under a limit.

auto isTransient(const ErrorCode &error) -> bool
{
    return error == asio::error::would_block || error == asio::error::try_again
           || error == asio::error::interrupted;
}

} // namespace

ProxyConnection::ProxyConnection(Tcp::socket accepted, Tcp::endpoint target, Route route,
                                 Context context)
    : sockets { Tcp::socket(accepted.get_executor()), Tcp::socket(accepted.get_executor()) },
      target(std::move(target)), ends(std::move(route)), context(std::move(context))
{
    this->sockets[Accepted] = std::move(accepted);
}

auto ProxyConnection::start(const Conditions &conditions) -> void
{
    for (Traffic *traffic : { &this->context.link, &this->context.pair }) {
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

auto ProxyConnection::lose() -> void
{
    if (!this->connected) {
        return;
    }
    this->lost = true;
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
    ++this->context.link.reset;
    ++this->context.pair.reset;
    for (Tcp::socket &socket : this->sockets) {
        resetSocket(socket);
    }
    this->finish();
}

auto ProxyConnection::refuse() -> void
{
    ++this->context.link.refused;
    ++this->context.pair.refused;
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
    // The target sees the source's IP number, as behind a fabric.
    bindSource(socket, this->ends.source, error);
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
    if (this->finished || pipe.reading || pipe.ended || pipe.queuedBytes >= queueMax) {
        return;
    }
    pipe.reading = true;
    this->sockets[end].async_wait(Tcp::socket::wait_read,
                                  [self = this->shared_from_this(), end](ErrorCode error) {
                                      self->pipes[end].reading = false;
                                      if (!error && !self->finished) {
                                          self->readNow(end);
                                      }
                                  });
}

auto ProxyConnection::readNow(End end) -> void
{
    if (this->conditions.silent && !this->lost) {
        return;
    }
    static std::array<char, readMax> bytes;
    ErrorCode error;
    const std::size_t size = this->sockets[end].read_some(asio::buffer(bytes), error);
    if (error && !isTransient(error)) {
        if (this->lost) {
            this->takeEndWhenLost(end);
        } else if (error == asio::error::eof) {
            this->takeEnd(end);
        } else {
            this->reset();
        }
        return;
    }
    if (!error && !this->lost) {
        this->takeBytes(end, std::string(bytes.data(), size));
    }
    this->read(end);
}

auto ProxyConnection::takeBytes(End end, std::string bytes) -> void
{
    Pipe &pipe = this->pipes[end];
    for (Traffic *traffic : { &this->context.link, &this->context.pair }) {
        (end == Accepted ? traffic->bytesTo : traffic->bytesFrom) += bytes.size();
    }
    pipe.queuedBytes += bytes.size();
    pipe.items.push_back({ Clock::now() + this->conditions.delay, std::move(bytes) });
    this->flush(end);
}

auto ProxyConnection::takeEnd(End end) -> void
{
    Pipe &pipe = this->pipes[end];
    pipe.ended = true;
    pipe.items.push_back({ Clock::now() + this->conditions.delay, {} });
    this->flush(end);
}

auto ProxyConnection::takeEndWhenLost(End end) -> void
{
    ErrorCode ignored;
    this->pipes[end].ended = true;
    this->sockets[end].close(ignored);
    if (!this->sockets[other(end)].is_open()) {
        this->finish();
    }
}

auto ProxyConnection::flush(End end) -> void
{
    Pipe &pipe = this->pipes[end];
    while (!this->finished && !this->lost && !this->conditions.silent && !pipe.writing
           && !pipe.timing && !pipe.items.empty()) {
        const Pipe::Item &first = pipe.items.front();
        if (first.due > Clock::now()) {
            this->waitUntil(end, first.due);
            return;
        }
        if (first.bytes.empty()) {
            this->passEnd(end);
            return;
        }
        if (!this->writeFirst(end)) {
            return;
        }
    }
}

/// Writes of the first item what may be written now.
/// @returns whether the whole item went.
auto ProxyConnection::writeFirst(End end) -> bool
{
    Pipe &pipe = this->pipes[end];
    std::string &bytes = pipe.items.front().bytes;
    const std::size_t size = std::min(bytes.size(), this->allowed(pipe));
    if (size == 0) {
        this->waitUntil(end, Clock::now() + limitPeriod);
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
    pipe.allowance -= static_cast<double>(written);
    if (written == bytes.size()) {
        pipe.items.pop_front();
        this->read(end);
        return true;
    }
    bytes.erase(0, written);
    if (written < size) {
        this->waitWritable(end);
    } else {
        this->waitUntil(end, Clock::now() + limitPeriod);
    }
    return false;
}

auto ProxyConnection::passEnd(End end) -> void
{
    Pipe &pipe = this->pipes[end];
    ErrorCode ignored;
    this->sockets[other(end)].shutdown(Tcp::socket::shutdown_send, ignored);
    pipe.items.clear();
    pipe.endPassed = true;
    if (this->pipes[other(end)].endPassed) {
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
    pipe.timing = true;
    pipe.timer->expires_at(time);
    pipe.timer->async_wait([self = this->shared_from_this(), end](ErrorCode) {
        self->pipes[end].timing = false;
        self->flush(end);
    });
}

auto ProxyConnection::waitWritable(End end) -> void
{
    this->pipes[end].writing = true;
    this->sockets[other(end)].async_wait(Tcp::socket::wait_write,
                                         [self = this->shared_from_this(), end](ErrorCode error) {
                                             self->pipes[end].writing = false;
                                             if (!error) {
                                                 self->flush(end);
                                             }
                                         });
}

/// Returns how many bytes the limit lets pass now.
auto ProxyConnection::allowed(Pipe &pipe) -> std::size_t
{
    const double rate = this->conditions.bytesPerSecond;
    if (rate <= 0) {
        return readMax;
    }
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - pipe.allowanceAt;
    const std::chrono::duration<double> burst = 2 * limitPeriod;
    const double most = std::max(1.0, rate * burst.count());
    pipe.allowance = std::min(most, std::max(0.0, pipe.allowance) + rate * passed.count());
    pipe.allowanceAt = now;
    return static_cast<std::size_t>(pipe.allowance);
}

auto ProxyConnection::finish() -> void
{
    if (this->finished) {
        return;
    }
    this->finished = true;
    --this->context.link.open;
    --this->context.pair.open;
    for (Pipe &pipe : this->pipes) {
        if (pipe.timer) {
            pipe.timer->cancel();
        }
    }
    this->context.done(this->shared_from_this());
}

} // namespace standins
