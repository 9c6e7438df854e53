/// The platform's configuration service and host list.
#pragma once

#include "standins/common/asio.h"
#include "standins/common/httpserver.h"
#include "standins/platform/platformmode.h"
#include "standins/platform/watch.h"

#include <chrono>
#include <cstdint>
#include <ctime>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

namespace standins {

class Control;

/// Serves the platform's calls and carries out the control protocol's commands.
/// @remarks Not thread safe.
class PlatformProgram
{
public:
    PlatformProgram(asio::io_context &loop, Control &control, const Json &options);

    /// Returns the fields of the `ready` event.
    [[nodiscard]] auto ready() const -> Json { return { { "address", this->server.address() } }; }

private:
    using Connection = HttpConnection::Ptr;
    using WatchPtr = std::shared_ptr<Watch>;

    auto publish(const Json &command) -> Json;
    auto publishRaw(const Json &command) -> Json;
    auto setHosts(const Json &command) -> Json;
    auto setMode(const Json &command) -> Json;
    [[nodiscard]] auto counts() const -> Json;

    auto handle(const Connection &connection, const HttpRequest &request) -> void;
    auto route(const Connection &connection, const std::string &target) -> void;
    auto readTable(const Connection &connection, const std::string &target) -> void;
    auto watchTable(const Connection &connection, std::uint64_t after,
                    std::chrono::milliseconds wait) -> void;
    auto endWatch(const WatchPtr &watch) -> void;
    auto answerWatches() -> void;
    [[nodiscard]] auto tableAnswer(std::uint64_t after) const -> HttpAnswer;
    [[nodiscard]] auto garbageAnswer() const -> HttpAnswer;
    [[nodiscard]] auto hostsAnswer() const -> HttpAnswer;
    [[nodiscard]] auto servedRevision() const -> std::uint64_t;

    asio::io_context &loop;
    /// A table and when it was published.
    struct Published
    {
        std::string text;
        std::time_t at = 0;
    };

    std::map<std::uint64_t, Published> history; ///< Every table by its revision.
    std::uint64_t revision = 0;                 ///< The one in force; 0: none yet.
    Json hosts = Json::array();
    std::chrono::milliseconds hostsLag { 0 };
    PlatformMode mode = PlatformMode::Up;
    std::chrono::milliseconds slowness { 0 };
    bool tellsPublished = true;     ///< Whether `Last-Modified` is sent.
    std::uint64_t modeRevision = 0; ///< Served by `Stale`, claimed by `Garbage`.
    std::uint64_t calls = 0;
    std::uint64_t tableReads = 0;
    std::uint64_t watchReads = 0;
    std::uint64_t hostReads = 0;
    std::unordered_set<WatchPtr> watches;
    HttpServer server;
};

} // namespace standins
