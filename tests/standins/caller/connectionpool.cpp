#include "standins/caller/connectionpool.h"

#include <algorithm>
#include <utility>

namespace standins {

namespace {

/// Idle connections are dropped after this time.
constexpr auto maxIdleTime = std::chrono::seconds(2);

} // namespace

ConnectionPool::ConnectionPool(asio::io_context &loop, Tcp::endpoint target,
                               std::optional<asio::ip::address> source, unsigned maxRequests)
    : loop(loop), target(std::move(target)), source(std::move(source)), maxRequests(maxRequests)
{}

auto ConnectionPool::acquire() -> ClientConnection::Ptr
{
    while (!this->idle.empty()) {
        const ClientConnection::Ptr connection = this->idle.back();
        this->idle.pop_back();
        if (connection->isReusable()) {
            return connection;
        }
    }
    return this->create();
}

auto ConnectionPool::create() -> ClientConnection::Ptr
{
    return std::make_shared<ClientConnection>(this->loop, this->target, this->source);
}

auto ConnectionPool::release(const ClientConnection::Ptr &connection) -> void
{
    if (connection->requestCount() < this->maxRequests && connection->isReusable()) {
        this->idle.push_back(connection);
    }
}

auto ConnectionPool::dropUnusable() -> void
{
    const auto now = std::chrono::steady_clock::now();
    const auto isUnusable = [now](const ClientConnection::Ptr &connection) {
        return now - connection->idleSince() > maxIdleTime || !connection->isReusable();
    };
    this->idle.erase(std::remove_if(this->idle.begin(), this->idle.end(), isUnusable),
                     this->idle.end());
}

} // namespace standins
