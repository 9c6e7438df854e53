/// Tests of the splitting of event streams.
#include "wire/eventsplitter.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using flamingograde::EventSplitter;

TEST_CASE("only whole events are passed on", "[eventsplitter]")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.push("ta: b\n").empty());
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.push("\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastId() == "2");
}

TEST_CASE("a part of an event is forgotten with its id", "[eventsplitter]")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 1\ndata: a\n\nid: 2\ndata: b\n") == "id: 1\ndata: a\n\n");
    splitter.dropPartial();
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.push("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastId() == "2");
}

TEST_CASE("every line ending ends an event", "[eventsplitter]")
{
    for (const std::string ending : { "\n", "\r\n", "\r" }) {
        EventSplitter splitter;
        const auto event = "id:7" + ending + "data: x" + ending + ending;
        CHECK(splitter.push(event + "data") == event);
        CHECK(splitter.lastId() == "7");
    }
}

TEST_CASE("an event without an id leaves the last one", "[eventsplitter]")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 3\n\n") == "id: 3\n\n");
    CHECK(splitter.push(": comment\n\n") == ": comment\n\n");
    CHECK(splitter.push("data: id: 9\n\n") == "data: id: 9\n\n");
    CHECK(splitter.lastId() == "3");
    CHECK(splitter.push("id\ndata: x\n\n") == "id\ndata: x\n\n");
    CHECK(splitter.lastId().empty());
}

TEST_CASE("an id with a zero byte is not taken", "[eventsplitter]")
{
    EventSplitter splitter;
    const std::string event("id: 4\n\nid: a\0b\n\n", 16);
    CHECK(splitter.push(event) == event);
    CHECK(splitter.lastId() == "4");
}

TEST_CASE("the stream is the same however it is cut", "[eventsplitter]")
{
    std::string stream;
    for (auto number = 1; number <= 50; ++number) {
        const std::string ending = number % 3 == 0 ? "\r\n" : "\n";
        stream += "id: " + std::to_string(number) + ending + "data: x" + ending + ending;
    }
    std::mt19937 random(7);
    for (auto round = 0; round < 50; ++round) {
        EventSplitter splitter;
        std::string passed;
        for (std::size_t at = 0; at < stream.size();) {
            const auto size = std::min<std::size_t>(random() % 9 + 1, stream.size() - at);
            passed += splitter.push(stream.substr(at, size));
            at += size;
        }
        REQUIRE(passed == stream);
        REQUIRE(splitter.lastId() == "50");
    }
}

TEST_CASE("an event without an end is noticed", "[eventsplitter]")
{
    EventSplitter splitter;
    CHECK(splitter.push(std::string(EventSplitter::eventBytesMax, 'x')).empty());
    CHECK_FALSE(splitter.isOverlong());
    CHECK(splitter.push("x").empty());
    CHECK(splitter.isOverlong());
}
