/// One feed of a caller, over all connections used for it.
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

/// Opens a feed, checks its events for loss, repetition and origin, and reopens it when it ends.
/// @remarks Not thread safe. Pending asynchronous operations keep the object alive; `options` and
/// `counts` must outlive it.
class FeedFlow : public std::enable_shared_from_this<FeedFlow>
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// @param onOpened called each time that the feed has been opened.
    FeedFlow(asio::io_context &loop, LoadOptions &options, FeedCounts &counts, std::string path,
             std::function<void()> onOpened);

    /// Opens the feed. Precondition: owned by a shared pointer.
    auto open() -> void;
    /// Closes the feed permanently.
    auto stop() -> void;
    /// Closes the connection and reopens the feed if no byte has arrived since `cutoff`.
    auto checkSilence(TimePoint cutoff) -> void;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    auto sendRequest() -> void;
    auto readResponseHead() -> void;
    auto handleResponseHead() -> void;
    auto handleRefusal(const AnswerHead &head) -> void;
    auto readEvents() -> void;
    auto handleBodyBytes() -> void;
    auto handleEvent(const FeedEvent &event) -> void;
    auto checkOrigin(const std::string &data) -> void;
    auto handleOpenFailure() -> void;
    auto closeConnection() -> void;
    auto scheduleReopen(std::chrono::nanoseconds pause) -> void;

    Tcp::socket socket;
    asio::steady_timer timer;
    LoadOptions &options;
    FeedCounts &counts;
    std::string path;
    std::function<void()> onOpened;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::string request;
    EventStreamParser eventParser;
    std::string token;
    std::optional<std::uint64_t> lastId;
    std::string upstream; ///< Upstream that sent the last event; empty before the first one.
    TimePoint lastReceived;
    /// When the feed was interrupted; empty while it is open and before the first opening.
    std::optional<TimePoint> interruptedAt;
    /// Number of the current connection; completion handlers of earlier connections are ignored.
    std::uint32_t connectionNumber = 0;
    unsigned consecutiveFailures = 0; ///< Number of consecutive attempts to open that failed.
    bool isOpen = false;
    bool openedBefore = false;
    bool stopped = false;
};

} // namespace standins
