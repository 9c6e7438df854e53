/// One feed of a caller, across all its connections.
#pragma once

#include "standins/caller/callanswer.h"
#include "standins/caller/eventstream.h"
#include "standins/common/asio.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace standins {

struct FeedCounts;
struct LoadOptions;

/// Opens a feed, checks its events, and opens it again whenever it ends.
/// @remarks Not thread safe. Kept alive by what is pending; options and counters outlive it.
class FeedFlow : public std::enable_shared_from_this<FeedFlow>
{
public:
    using Time = std::chrono::steady_clock::time_point;

    FeedFlow(asio::io_context &loop, LoadOptions &options, FeedCounts &counts, std::string path,
             std::function<void()> opened);

    /// Opens the feed. Precondition: owned by a shared pointer.
    auto open() -> void;
    /// Closes the feed for good.
    auto stop() -> void;
    /// Gives up the connection if it has been silent since before `oldest`.
    auto checkSilence(Time oldest) -> void;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    auto write() -> void;
    auto readHead() -> void;
    auto takeHead() -> void;
    auto takeRefusal(const AnswerHead &head) -> void;
    auto readEvents() -> void;
    auto takeBytes() -> void;
    auto takeEvent(const FeedEvent &event) -> void;
    auto takeOrigin(const std::string &data) -> void;
    auto failOpening() -> void;
    auto closeOpen() -> void;
    auto openAgain(std::chrono::nanoseconds pause) -> void;

    Tcp::socket socket;
    asio::steady_timer timer;
    LoadOptions &options;
    FeedCounts &counts;
    std::string path;
    std::function<void()> opened;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::string request;
    EventStream events;
    std::string token;
    std::optional<std::uint64_t> lastId;
    std::string upstream; ///< Of the last event.
    Time lastBytes;
    std::optional<Time> endedAt;  ///< Since when the feed is interrupted.
    std::uint32_t connection = 0; ///< Number of the connection; what an earlier one does is void.
    unsigned failures = 0;        ///< Failed openings in a row.
    bool isOpen = false;
    bool wasOpened = false;
    bool stopped = false;
};

} // namespace standins
