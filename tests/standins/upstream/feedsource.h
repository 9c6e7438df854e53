/// The events of one upstream and the feeds that get them.
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

/// Numbers an event each period and writes it to every feed; a feed that was slow gets all it
/// missed, since each event follows from its number.
/// @remarks Not thread safe.
class FeedSource
{
public:
    /// @param name the upstream's name, told in each event.
    /// @param eventMs the period; 0: no events.
    FeedSource(asio::io_context &loop, std::string name, std::string service, double eventMs);

    /// Opens a feed after event `lastId`, or after the newest for none or an unknown one.
    auto open(const HttpConnection::Ptr &connection, std::optional<std::uint64_t> lastId) -> void;
    /// Holds back all writes, or goes on.
    auto setSilent(bool silent) -> void;
    /// Ends every feed in order.
    auto endAll() -> void;
    auto setService(const std::string &service) -> void { this->service = service; }
    [[nodiscard]] auto size() const -> std::size_t { return this->streams.size(); }

private:
    using StreamPtr = std::shared_ptr<FeedStream>;

    auto scheduleEvent() -> void;
    auto write(const StreamPtr &stream, std::shared_ptr<const std::string> bytes) -> void;
    auto writeMissing(const StreamPtr &stream) -> void;
    [[nodiscard]] auto chunkOf(std::uint64_t event) const -> std::string;

    asio::steady_timer timer;
    std::chrono::duration<double, std::milli> period;
    std::string name;
    std::string service;
    std::uint64_t newest = 0; ///< Number of the newest event.
    bool silent = false;
    std::unordered_set<StreamPtr> streams;
};

} // namespace standins
