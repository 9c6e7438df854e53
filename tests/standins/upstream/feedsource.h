/// Generates the events of one upstream and sends them to its feeds.
#pragma once

#include "standins/common/asio.h"
#include "standins/upstream/feedstream.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace standins {

/// Creates a numbered event once per period and writes it to every feed. A slow feed receives all
/// events that it missed: they need no buffer, as an event is derived from its number.
/// @remarks Not thread safe.
class FeedSource
{
public:
    /// @param name the upstream's name, included in each event.
    /// @param service the upstream's service, included in each event.
    /// @param eventMs the period between events in milliseconds; 0: no events.
    FeedSource(asio::io_context &loop, std::string name, std::string service, double eventMs);

    /// Opens a feed that continues after event `lastId`, or after the newest event if `lastId` is
    /// empty or not yet reached.
    auto open(const HttpConnection::Ptr &connection, std::optional<std::uint64_t> lastId) -> void;
    /// Suspends all writes of events, or resumes them with the events missed.
    auto setSilent(bool silent) -> void;
    /// Ends every feed with the last chunk. A feed with a write in progress is closed without it.
    auto endAll() -> void;
    auto setService(const std::string &service) -> void { this->service = service; }
    [[nodiscard]] auto size() const -> std::size_t { return this->streams.size(); }

private:
    using StreamPtr = std::shared_ptr<FeedStream>;

    auto scheduleEvent() -> void;
    auto write(const StreamPtr &stream, std::shared_ptr<const std::string> bytes) -> void;
    auto writeBacklog(const StreamPtr &stream) -> void;
    [[nodiscard]] auto encodeChunk(std::uint64_t event) const -> std::string;

    asio::steady_timer timer;
    std::chrono::duration<double, std::milli> period;
    std::string name;
    std::string service;
    std::uint64_t newestEvent = 0; ///< Number of the newest event; 0 before the first.
    bool silent = false;
    std::unordered_set<StreamPtr> streams;
};

} // namespace standins
