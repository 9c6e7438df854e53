/// Splitting of server-sent event streams at event boundaries.
#include "wire/eventsplitter.h"

#include <utility>

namespace flamingograde {

namespace {

constexpr std::string_view idField = "id";

} // namespace

auto EventSplitter::push(std::string_view bytes) -> std::string
{
    this->buffer.append(bytes);
    for (; this->parsedBytes < this->buffer.size(); ++this->parsedBytes) {
        const auto byte = this->buffer[this->parsedBytes];
        const auto endsCrLf = byte == '\n' && this->afterCarriageReturn;
        this->afterCarriageReturn = byte == '\r';
        if (endsCrLf) {
            this->completeBytes += this->completeBytes == this->parsedBytes ? 1 : 0;
            this->lineStart = this->parsedBytes + 1;
        } else if (byte == '\n' || byte == '\r') {
            this->endLine(this->parsedBytes);
        }
    }
    auto events = this->buffer.substr(0, this->completeBytes);
    this->buffer.erase(0, this->completeBytes);
    this->parsedBytes -= this->completeBytes;
    this->lineStart -= this->completeBytes;
    this->completeBytes = 0;
    return events;
}

auto EventSplitter::dropPartial() -> void
{
    this->buffer.clear();
    this->parsedBytes = 0;
    this->lineStart = 0;
    this->completeBytes = 0;
    this->afterCarriageReturn = false;
    this->hasPendingId = false;
}

auto EventSplitter::endLine(std::size_t lineEnd) -> void
{
    const auto line =
            std::string_view(this->buffer).substr(this->lineStart, lineEnd - this->lineStart);
    this->lineStart = lineEnd + 1;
    if (line.empty()) {
        this->completeBytes = lineEnd + 1;
        if (std::exchange(this->hasPendingId, false)) {
            this->lastEventId = std::move(this->pendingId);
        }
        return;
    }
    const auto colon = line.find(':');
    if (line.substr(0, colon) != idField) {
        return;
    }
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (value.find('\0') == std::string_view::npos) {
        this->pendingId = value;
        this->hasPendingId = true;
    }
}

} // namespace flamingograde
