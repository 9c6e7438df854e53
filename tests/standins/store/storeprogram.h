/// The platform's metadata store as packet hosts read it.
#pragma once

#include "standins/common/asio.h"
#include "standins/common/httpserver.h"
#include "standins/store/storemode.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace standins {

class Control;

/// Keeps items with revisions and a bounded history; serves items, ranges and watches, with faults.
/// @remarks Not thread safe.
class StoreProgram
{
public:
    StoreProgram(asio::io_context &owner, Control &control, const Json &options);

    /// Returns the fields of the `ready` event.
    [[nodiscard]] auto ready() const -> Json { return { { "address", this->server.address() } }; }

private:
    using Connection = HttpConnection::Ptr;
    using Millis = std::chrono::milliseconds;

    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        Json event;
    };
    struct Watch
    {
        Connection connection;
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<asio::steady_timer> timer;
    };
    using WatchPtr = std::shared_ptr<Watch>;

    auto put(const Json &command) -> Json;
    auto remove(const Json &command) -> Json;
    auto setMode(const Json &command) -> Json;
    auto handle(const Connection &connection, const HttpRequest &request) -> void;
    auto route(const Connection &connection, const std::string &target) -> void;
    auto readKey(const Connection &connection, const std::string &target) -> void;
    auto readRange(const Connection &connection, const std::string &target) -> void;
    auto watch(const Connection &connection, const std::string &target) -> void;
    auto endWatch(const WatchPtr &watch) -> void;
    auto note(const std::string &key, Json event) -> void;
    auto answer(const Connection &connection, const Json &body) -> void;
    [[nodiscard]] auto eventsFor(const Watch &watch) const -> Json;
    [[nodiscard]] auto itemJson(const std::string &key, const Item &item) const -> Json;
    [[nodiscard]] auto modeOf(const Connection &connection) const -> StoreMode;

    asio::io_context &loop;
    std::mt19937_64 random { 1 };
    std::map<std::string, Item> items;
    std::deque<Change> history;
    std::uint64_t revision = 1;
    std::uint64_t forgotten = 0;            ///< Changes up to this are no longer kept.
    std::map<std::string, StoreMode> modes; ///< By the host's IP number; "" for all.
    Millis slowness { 0 };
    double loss = 0; ///< Share of answers that never come.
    std::size_t pageItems = 50;
    std::vector<WatchPtr> watches;
    std::map<std::string, std::uint64_t> calls; ///< By path.
    std::uint64_t lateCalls = 0;
    HttpServer server;
};

} // namespace standins
