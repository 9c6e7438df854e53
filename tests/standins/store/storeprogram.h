/// The platform's metadata store, with the HTTP calls by which packet hosts read it.
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

/// Holds items with their revisions and a bounded history of changes. Serves single items, ranges
/// and watches (long polls), and injects faults on command.
/// @remarks Not thread safe.
class StoreProgram
{
public:
    StoreProgram(asio::io_context &ioContext, Control &control, const Json &options);

    /// Returns the fields of the `ready` event.
    [[nodiscard]] auto ready() const -> Json { return { { "address", this->server.address() } }; }

private:
    using Connection = HttpConnection::Ptr;
    using Millis = std::chrono::milliseconds;

    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createdRevision = 0;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        Json event;
    };
    struct Contents
    {
        std::map<std::string, Item> items;
        std::deque<Change> history;
        std::uint64_t revision = 1;
        std::uint64_t compactedRevision = 0; ///< Changes up to this revision were dropped.
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
    auto restore() -> Json;
    auto closeWatches(bool withConnections) -> void;
    auto handle(const Connection &connection, const HttpRequest &request) -> void;
    auto route(const Connection &connection, const std::string &target) -> void;
    auto readKey(const Connection &connection, const std::string &target) -> void;
    auto readRange(const Connection &connection, const std::string &target) -> void;
    auto watch(const Connection &connection, const std::string &target) -> void;
    auto answerWatch(const WatchPtr &watch) -> void;
    auto recordChange(const std::string &key, Json event) -> void;
    auto answer(const Connection &connection, const Json &body) -> void;
    /// Sends an answer with the epoch, which each answer has.
    auto send(const Connection &connection, HttpAnswer answer) -> void;
    [[nodiscard]] auto eventsFor(const Watch &watch) const -> Json;
    [[nodiscard]] auto itemJson(const std::string &key, const Item &item) const -> Json;
    [[nodiscard]] auto modeOf(const Connection &connection) const -> StoreMode;

    asio::io_context &loop;
    std::mt19937_64 random { 1 };
    Contents contents;
    Contents copied;         ///< The contents to which the command "restore" goes back.
    std::uint32_t epoch = 1; ///< Rises with each restore.
    std::map<std::string, StoreMode> modesByHost; ///< By the host's IP address; "" for all hosts.
    Millis answerDelay { 0 };
    double unansweredShare = 0; ///< Share of calls that are not answered, 0 to 1.
    std::size_t pageSize = 50;
    std::vector<WatchPtr> watches;
    std::map<std::string, std::uint64_t> callsByPath; ///< Number of calls by path.
    std::uint64_t staleOkCalls = 0;                   ///< Calls with `staleOk=1`.
    HttpServer server;
};

} // namespace standins
