/// Tests of parsing the platform's answers.
#include "looprun.h"
#include "scriptserver.h"

#include "net/httpclient.h"
#include "net/platformreader.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace flamingograde;
using namespace flamingograde::net;
using namespace std::chrono_literals;

namespace {

/// Returns the table that is read from an answer with `headers`.
auto fetchTable(const std::string &headers) -> TableFetched
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop,
                              "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + headers + "\r\none",
                              AfterAnswer::Keep);
    std::optional<Event> event;
    PlatformReader reader(loop, client, server.address(),
                          [&](Event received) { event = std::move(received); });
    reader.act(ReadTable { Revision { 1 }, 0ms });
    runUntil(loop, [&] { return event.has_value(); });
    REQUIRE(event);
    REQUIRE(std::holds_alternative<TableFetched>(*event));
    return std::get<TableFetched>(*event);
}

} // namespace

TEST_CASE("a fetched table has the revision and publication time of its headers")
{
    const auto table =
            fetchTable("Revision: 7\r\nLast-Modified: Tue, 02 Dec 2025 19:23:20 GMT\r\n");
    CHECK(table.revision.number == 7);
    CHECK(table.text == "one");
    CHECK(table.published == WallTime(1764703400s));
    CHECK_FALSE(fetchTable("Revision: 7\r\n").published);
    CHECK_FALSE(fetchTable("Revision: 7\r\nLast-Modified: yesterday\r\n").published);
}
