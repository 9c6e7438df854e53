/// Splitting of server-sent event streams at event boundaries.
#include "wire/eventsplitter.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using flamingograde::EventSplitter;

TEST_CASE("only complete events are returned", "[eventsplitter]")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.push("ta: b\n").empty());
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.push("\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastId() == "2");
}

TEST_CASE("an incomplete event is discarded together with its ID", "[eventsplitter]")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 1\ndata: a\n\nid: 2\ndata: b\n") == "id: 1\ndata: a\n\n");
    splitter.dropPartial();
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.push("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastId() == "2");
}

TEST_CASE("events end with any of the line endings LF, CRLF and CR", "[eventsplitter]")
{
    for (const std::string lineEnding : { "\n", "\r\n", "\r" }) {
        EventSplitter splitter;
        const auto event = "id:7" + lineEnding + "data: x" + lineEnding + lineEnding;
        CHECK(splitter.push(event + "data") == event);
        CHECK(splitter.lastId() == "7");
    }
}

TEST_CASE("an event without an ID keeps the last ID, and an empty ID clears it", "[eventsplitter]")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 3\n\n") == "id: 3\n\n");
    CHECK(splitter.push(": comment\n\n") == ": comment\n\n");
    CHECK(splitter.push("data: id: 9\n\n") == "data: id: 9\n\n");
    CHECK(splitter.lastId() == "3");
    CHECK(splitter.push("id\ndata: x\n\n") == "id\ndata: x\n\n");
    CHECK(splitter.lastId().empty());
}

TEST_CASE("an ID with a zero byte is ignored", "[eventsplitter]")
{
    EventSplitter splitter;
    const std::string event("id: 4\n\nid: a\0b\n\n", 16);
    CHECK(splitter.push(event) == event);
    CHECK(splitter.lastId() == "4");
}

TEST_CASE("the returned stream does not depend on how the input is divided", "[eventsplitter]")
{
    std::string stream;
    for (auto number = 1; number <= 50; ++number) {
        const std::string lineEnding = number % 3 == 0 ? "\r\n" : "\n";
        stream +=
                "id: " + std::to_string(number) + lineEnding + "data: x" + lineEnding + lineEnding;
    }
    std::mt19937 random(7);
    for (auto round = 0; round < 50; ++round) {
        EventSplitter splitter;
        std::string returned;
        for (std::size_t at = 0; at < stream.size();) {
            const auto size = std::min<std::size_t>(random() % 9 + 1, stream.size() - at);
            returned += splitter.push(stream.substr(at, size));
            at += size;
        }
        REQUIRE(returned == stream);
        REQUIRE(splitter.lastId() == "50");
    }
}

TEST_CASE("an incomplete event above the size limit is reported", "[eventsplitter]")
{
    EventSplitter splitter;
    CHECK(splitter.push(std::string(EventSplitter::eventBytesMax, 'x')).empty());
    CHECK_FALSE(splitter.isEventTooLarge());
    CHECK(splitter.push("x").empty());
    CHECK(splitter.isEventTooLarge());
}
