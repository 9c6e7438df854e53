#include "standins/caller/eventstream.h"

#include <cstdlib>
#include <sstream>

namespace standins {

namespace {

const std::string eventEnd = "\n\n";

auto valueOf(const std::string &line, const std::string &field) -> std::optional<std::string>
{
    const std::string start = field + ": ";
    if (line.compare(0, start.size(), start) != 0) {
        return std::nullopt;
    }
    return line.substr(start.size());
}

auto eventOf(const std::string &text) -> std::optional<FeedEvent>
{
    FeedEvent event;
    bool hasId = false;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (const auto id = valueOf(line, "id")) {
            event.id = std::strtoull(id->c_str(), nullptr, 10);
            hasId = true;
        } else if (const auto data = valueOf(line, "data")) {
            event.data += *data;
        }
    }
    return hasId ? std::optional<FeedEvent>(event) : std::nullopt;
}

} // namespace

auto EventStream::append(const std::string &bytes) -> std::vector<FeedEvent>
{
    std::vector<FeedEvent> events;
    this->rest += bytes;
    std::size_t start = 0;
    for (auto end = this->rest.find(eventEnd); end != std::string::npos;
         end = this->rest.find(eventEnd, start)) {
        if (auto event = eventOf(this->rest.substr(start, end - start))) {
            events.push_back(std::move(*event));
        }
        start = end + eventEnd.size();
    }
    this->rest.erase(0, start);
    return events;
}

} // namespace standins
