/// Splits a stream of server-sent events at the boundaries of events.
#include "wire/eventsplitter.h"

#include <utility>

namespace flamingograde {

namespace {

constexpr std::string_view idField = "id";

} // namespace

auto EventSplitter::push(std::string_view bytes) -> std::string
{
    this->partial.append(bytes);
    for (; this->scanned < this->partial.size(); ++this->scanned) {
        const auto byte = this->partial[this->scanned];
        const auto pairedFeed = byte == '\n' && this->afterReturn;
        this->afterReturn = byte == '\r';
        if (pairedFeed) {
            this->whole += this->whole == this->scanned ? 1 : 0;
            this->lineStart = this->scanned + 1;
        } else if (byte == '\n' || byte == '\r') {
            this->endLine(this->scanned);
        }
    }
    auto events = this->partial.substr(0, this->whole);
    this->partial.erase(0, this->whole);
    this->scanned -= this->whole;
    this->lineStart -= this->whole;
    this->whole = 0;
    return events;
}

auto EventSplitter::dropPartial() -> void
{
    this->partial.clear();
    this->scanned = 0;
    this->lineStart = 0;
    this->whole = 0;
    this->afterReturn = false;
    this->hasNextId = false;
}

auto EventSplitter::endLine(std::size_t lineEnd) -> void
{
    const auto line =
            std::string_view(this->partial).substr(this->lineStart, lineEnd - this->lineStart);
    this->lineStart = lineEnd + 1;
    if (line.empty()) {
        this->whole = lineEnd + 1;
        if (std::exchange(this->hasNextId, false)) {
            this->id = std::move(this->nextId);
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
        this->nextId = value;
        this->hasNextId = true;
    }
}

} // namespace flamingograde
