#include "standins/upstream/feedsource.h"

#include <algorithm>
#include <functional>
#include <sstream>
#include <utility>
#include <vector>

namespace standins {

namespace {

constexpr std::uint64_t maxEventsPerWrite = 512; ///< Maximum number of events per write.
constexpr std::size_t startOffsets = 1000; ///< Number of possible time offsets of the first event.

const std::string responseHead = "HTTP/1.1 200 OK\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 "Cache-Control: no-store\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";

} // namespace

FeedSource::FeedSource(asio::io_context &loop, std::string name, std::string service,
                       double eventMs)
    : timer(loop), period(eventMs), name(std::move(name)), service(std::move(service))
{
    if (eventMs > 0) {
        // Spreads the event times so that the upstreams of one process do not all write at once.
        const double startOffset =
                static_cast<double>(std::hash<std::string>()(this->name) % startOffsets)
                / static_cast<double>(startOffsets);
        this->timer.expires_after(
                std::chrono::duration_cast<std::chrono::nanoseconds>(this->period * -startOffset));
        this->scheduleEvent();
    }
}

auto FeedSource::open(const HttpConnection::Ptr &connection, std::optional<std::uint64_t> lastId)
        -> void
{
    auto stream = std::make_shared<FeedStream>();
    stream->connection = connection;
    stream->lastSent = std::min(lastId.value_or(this->newestEvent), this->newestEvent);
    this->streams.insert(stream);
    connection->onClosed([this, stream] { this->streams.erase(stream); });
    this->write(stream, std::make_shared<const std::string>(responseHead));
}

auto FeedSource::setSilent(bool silent) -> void
{
    this->silent = silent;
    for (const StreamPtr &stream : this->streams) {
        this->writeBacklog(stream);
    }
}

auto FeedSource::endAll() -> void
{
    const auto ended = std::exchange(this->streams, {});
    for (const StreamPtr &stream : ended) {
        if (stream->writing) {
            stream->connection->close();
            continue;
        }
        const auto &connection = stream->connection;
        connection->onClosed(nullptr);
        connection->write(std::make_shared<const std::string>(lastChunk),
                          [connection = connection] { connection->close(); });
    }
}

auto FeedSource::scheduleEvent() -> void
{
    const auto step = std::chrono::duration_cast<std::chrono::nanoseconds>(this->period);
    this->timer.expires_at(this->timer.expiry() + step);
    this->timer.async_wait([this](ErrorCode error) {
        if (error) {
            return;
        }
        ++this->newestEvent;
        const auto chunk =
                std::make_shared<const std::string>(this->encodeChunk(this->newestEvent));
        for (const StreamPtr &stream : this->streams) {
            if (!stream->writing && !this->silent && stream->lastSent + 1 == this->newestEvent) {
                stream->lastSent = this->newestEvent;
                this->write(stream, chunk);
            }
        }
        this->scheduleEvent();
    });
}

auto FeedSource::write(const StreamPtr &stream, std::shared_ptr<const std::string> bytes) -> void
{
    stream->writing = true;
    stream->connection->write(std::move(bytes), [this, stream] {
        stream->writing = false;
        this->writeBacklog(stream);
    });
}

auto FeedSource::writeBacklog(const StreamPtr &stream) -> void
{
    if (stream->writing || this->silent || stream->lastSent >= this->newestEvent) {
        return;
    }
    const std::uint64_t last = std::min(this->newestEvent, stream->lastSent + maxEventsPerWrite);
    std::string batch;
    while (stream->lastSent < last) {
        ++stream->lastSent;
        batch += this->encodeChunk(stream->lastSent);
    }
    this->write(stream, std::make_shared<const std::string>(std::move(batch)));
}

auto FeedSource::encodeChunk(std::uint64_t event) const -> std::string
{
    const std::string number = std::to_string(event);
    const std::string text = "id: " + number + "\ndata: {\"n\":" + number + ",\"upstream\":\""
                             + this->name + "\",\"service\":\"" + this->service + "\"}\n\n";
    std::ostringstream chunk;
    chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
    return chunk.str();
}

} // namespace standins
