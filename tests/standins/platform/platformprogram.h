/// The HTTP server of the platform stand-in: the table of the configuration service and the list of
/// hosts.
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

/// Serves the HTTP calls to the platform and executes the commands of the control protocol.
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
    auto answerWatch(const WatchPtr &watch) -> void;
    auto answerOutdatedWatches() -> void;
    [[nodiscard]] auto tableAnswer(std::uint64_t after) const -> HttpAnswer;
    [[nodiscard]] auto garbageAnswer() const -> HttpAnswer;
    [[nodiscard]] auto hostsAnswer() const -> HttpAnswer;
    [[nodiscard]] auto servedRevision() const -> std::uint64_t;

    asio::io_context &loop;
    /// A table and its time of publication.
    struct PublishedTable
    {
        std::string text;
        std::time_t publishedAt = 0;
    };

    std::map<std::uint64_t, PublishedTable> history; ///< All published tables by revision.
    std::uint64_t revision = 0; ///< The current revision; 0: no table published.
    Json hosts = Json::array();
    std::chrono::milliseconds hostsLag { 0 };
    PlatformMode mode = PlatformMode::Up;
    std::chrono::milliseconds answerDelay { 0 };
    bool sendsLastModified = true; ///< Whether tables are served with `Last-Modified`.
    /// In mode `Stale`: the revision that is served. In mode `Garbage`: the revision in the header,
    /// or 0 for a header that is not a number.
    std::uint64_t modeRevision = 0;
    std::uint64_t calls = 0;
    std::uint64_t tableReads = 0;
    std::uint64_t watchReads = 0;
    std::uint64_t hostReads = 0;
    std::unordered_set<WatchPtr> watches;
    HttpServer server;
};

} // namespace standins
