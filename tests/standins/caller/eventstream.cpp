#include "standins/caller/eventstream.h"

#include <cstdlib>
#include <sstream>

namespace standins {

namespace {

const std::string eventTerminator = "\n\n";

auto parseField(const std::string &line, const std::string &field) -> std::optional<std::string>
{
    const std::string start = field + ": ";
    if (line.compare(0, start.size(), start) != 0) {
        return std::nullopt;
    }
    return line.substr(start.size());
}

auto parseEvent(const std::string &text) -> std::optional<FeedEvent>
{
    FeedEvent event;
    bool hasId = false;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (const auto id = parseField(line, "id")) {
            event.id = std::strtoull(id->c_str(), nullptr, 10);
            hasId = true;
        } else if (const auto data = parseField(line, "data")) {
            event.data += *data;
        }
    }
    return hasId ? std::optional<FeedEvent>(event) : std::nullopt;
}

} // namespace

auto EventStreamParser::append(const std::string &bytes) -> std::vector<FeedEvent>
{
    std::vector<FeedEvent> events;
    this->unparsed += bytes;
    std::size_t start = 0;
    for (auto end = this->unparsed.find(eventTerminator); end != std::string::npos;
         end = this->unparsed.find(eventTerminator, start)) {
        if (auto event = parseEvent(this->unparsed.substr(start, end - start))) {
            events.push_back(std::move(*event));
        }
        start = end + eventTerminator.size();
    }
    this->unparsed.erase(0, start);
    return events;
}

} // namespace standins
