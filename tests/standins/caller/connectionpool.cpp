#include "standins/caller/connectionpool.h"

#include <algorithm>
#include <utility>

namespace standins {

namespace {

constexpr auto idleMax = std::chrono::seconds(2); ///< A connection is kept this long.

} // namespace

ConnectionPool::ConnectionPool(asio::io_context &loop, Tcp::endpoint target,
                               std::optional<asio::ip::address> source, unsigned reuse)
    : loop(loop), target(std::move(target)), source(std::move(source)), reuse(reuse)
{}

auto ConnectionPool::take() -> ClientConnection::Ptr
{
    while (!this->idle.empty()) {
        const ClientConnection::Ptr connection = this->idle.back();
        this->idle.pop_back();
        if (connection->isReusable()) {
            return connection;
        }
    }
    return this->makeNew();
}

auto ConnectionPool::makeNew() -> ClientConnection::Ptr
{
    return std::make_shared<ClientConnection>(this->loop, this->target, this->source);
}

auto ConnectionPool::giveBack(const ClientConnection::Ptr &connection) -> void
{
    if (connection->requests() < this->reuse && connection->isReusable()) {
        this->idle.push_back(connection);
    }
}

auto ConnectionPool::sweep() -> void
{
    const auto now = std::chrono::steady_clock::now();
    const auto isOver = [now](const ClientConnection::Ptr &connection) {
        return now - connection->idleSince() > idleMax || !connection->isReusable();
    };
    this->idle.erase(std::remove_if(this->idle.begin(), this->idle.end(), isOver),
                     this->idle.end());
}

} // namespace standins
