/// Tests of reads of the whole directory that take several pages.
#include "base64.h"
#include "looprun.h"
#include "scriptserver.h"

#include "net/httpclient.h"
#include "platform/storereader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace flamingograde;
using namespace flamingograde::net;
using namespace flamingograde::platform;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

auto upstreamItem(const std::string &id, std::uint64_t revision) -> json
{
    const json server { { "service", "desk" }, { "address", "10.128.0.7:8080" },
                        { "zone", "hall-1" },  { "version", "v3" },
                        { "slots", 4 },        { "state", "ready" },
                        { "coldLeftMs", 0 },   { "seq", 9 } };
    return { { "key", "servers/" + id },
             { "value", toBase64(server.dump()) },
             { "revision", revision },
             { "createdRev", revision },
             { "lease", 1 } };
}

/// Returns the HTTP answer with a page of one upstream.
/// @param headers further header lines.
auto pageWith(const std::string &id, bool hasMore, std::uint64_t revision,
              const std::string &headers = "") -> std::string
{
    const json page { { "items", json::array({ upstreamItem(id, 2) }) },
                      { "morePages", hasMore },
                      { "currentRev", revision } };
    const auto body = page.dump();
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

const std::string busy = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// A store that answers with a script, and a reader that records its reports.
class ReaderTest
{
public:
    ReaderTest()
        : client(loop, Address()), server(loop, pageWith("i-01", true, 20), AfterAnswer::Keep),
          reader(client, server.address(),
                 [this](Event event) { this->events.push_back(std::move(event)); })
    {}

    auto readWhole(bool mayBeStale = true) -> void
    {
        ReadDirectory action;
        action.mayBeStale = mayBeStale;
        this->reader.act(action);
    }

    template<typename E>
    auto runUntilReported(std::size_t count) -> bool
    {
        return runUntil(this->loop, [&] { return countOf<E>(this->events) == count; });
    }

    /// Reads the first page; the call for the second one is refused.
    auto readFirstPageAndFail() -> void
    {
        this->readWhole();
        REQUIRE(this->runUntilReported<DirectoryPageRead>(1));
        this->server.closeAll();
        this->server.answerWith(busy, AfterAnswer::Close);
        REQUIRE(this->runUntilReported<DirectoryReadFailed>(1));
        this->server.received.clear();
    }

    Loop loop;
    HttpClient client;
    ScriptServer server;
    std::vector<Event> events;
    StoreReader reader;
};

} // namespace

TEST_CASE("a read of the whole directory continues after the pages that were read before a failure",
          "[store]")
{
    ReaderTest test;
    test.readFirstPageAndFail();
    test.server.answerWith(pageWith("i-02", false, 30), AfterAnswer::Close);
    test.readWhole();
    REQUIRE(test.runUntilReported<DirectoryRead>(1));
    CHECK(test.server.received.find("after=servers/i-01") != std::string::npos);
    const auto &update = std::get<DirectoryRead>(test.events.back()).update;
    CHECK(update.present.size() == 2);
    CHECK(update.upTo.number == 20);
}

TEST_CASE("a read of the whole directory begins anew if it must not be stale, or if the pages were "
          "given up",
          "[store]")
{
    ReaderTest test;
    test.readFirstPageAndFail();
    test.server.answerWith(pageWith("i-02", false, 30), AfterAnswer::Close);
    SECTION("it must not be stale")
    {
        test.readWhole(false);
    }
    SECTION("the pages were given up")
    {
        test.reader.act(StopReadingDirectory { false });
        test.readWhole();
    }
    REQUIRE(test.runUntilReported<DirectoryRead>(1));
    CHECK(test.server.received.find("after=") == std::string::npos);
    CHECK(std::get<DirectoryRead>(test.events.back()).update.upTo.number == 30);
}

TEST_CASE("a stopped read reports nothing more", "[store]")
{
    ReaderTest test;
    test.readWhole();
    REQUIRE(test.runUntilReported<DirectoryPageRead>(1));
    test.reader.act(StopReadingDirectory { true });
    const auto reported = test.events.size();
    CHECK_FALSE(runUntil(
            test.loop, [&] { return test.events.size() > reported; }, 100ms));
}

TEST_CASE("an answer has the epoch that the store names, or epoch 0", "[store]")
{
    ReaderTest test;
    const auto [header, epoch] = GENERATE(table<std::string, std::uint32_t>(
            { { "", 0 }, { "Store-Era: 3\r\n", 3 }, { "store-era: 7\r\n", 7 } }));
    test.server.answerWith(pageWith("i-01", false, 20, header), AfterAnswer::Close);
    test.readWhole();
    REQUIRE(test.runUntilReported<DirectoryRead>(1));
    CHECK(std::get<DirectoryRead>(test.events.back()).update.upTo.epoch == epoch);
}

TEST_CASE("an answer with an epoch that is no number is rejected", "[store]")
{
    ReaderTest test;
    test.server.answerWith(pageWith("i-01", false, 20, "Store-Era: new\r\n"), AfterAnswer::Close);
    test.readWhole();
    REQUIRE(test.runUntilReported<DirectoryReadFailed>(1));
    const auto &failed = std::get<DirectoryReadFailed>(test.events.back());
    CHECK(failed.failure == DirectoryFailure::Malformed);
}

TEST_CASE("pages that were read before and after a restore of the store are not combined",
          "[store][restore]")
{
    ReaderTest test;
    test.server.answerWith(pageWith("i-01", true, 20, "Store-Era: 1\r\n"), AfterAnswer::Keep);
    test.readFirstPageAndFail();
    test.server.answerWith(pageWith("i-02", false, 12, "Store-Era: 2\r\n"), AfterAnswer::Keep);
    test.readWhole();
    REQUIRE(test.runUntilReported<DirectoryReadFailed>(2));
    CHECK(std::get<DirectoryReadFailed>(test.events.back()).failure == DirectoryFailure::Forgotten);
    test.server.received.clear();
    test.readWhole();
    REQUIRE(test.runUntilReported<DirectoryRead>(1));
    CHECK(test.server.received.find("after=") == std::string::npos);
    CHECK(std::get<DirectoryRead>(test.events.back()).update.upTo == Revision { 12, 2 });
}
