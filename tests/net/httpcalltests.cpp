/// Tests of outgoing HTTP calls: which result is reported for each way a call can end.
#include "looprun.h"
#include "scriptserver.h"

#include "net/httpcall.h"
#include "net/httpclient.h"
#include "net/requesthead.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace flamingograde;
using namespace flamingograde::net;
using namespace std::chrono_literals;

namespace {

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A call and the results it reported.
struct Call
{
    std::optional<HttpHead> head;
    std::string body;
    std::optional<CallEnd> end;
    std::unique_ptr<HttpCall> call;

    Call(HttpClient &client, HttpRequest request)
    {
        CallHandlers handlers;
        handlers.onHead = [this](HttpHead received) { this->head = std::move(received); };
        handlers.onBody = [this](std::string_view bytes) { this->body.append(bytes); };
        handlers.onEnd = [this](CallEnd callEnd, int) { this->end = callEnd; };
        this->call = std::make_unique<HttpCall>(client, std::move(request), std::move(handlers));
        this->call->start();
    }
};

auto requestTo(Address target) -> HttpRequest
{
    HttpRequest request;
    request.target = target;
    request.head = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    request.timeout = 5s;
    return request;
}

/// Returns how a call ends if the server sends `script` and then does `afterAnswer`.
auto callEndFor(const std::string &script, AfterAnswer afterAnswer) -> std::optional<CallEnd>
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, script, afterAnswer);
    const Call call(client, requestTo(server.address()));
    runUntil(loop, [&] { return call.end.has_value(); });
    return call.end;
}

} // namespace

TEST_CASE("a complete answer ends the call as whole", "[httpcall]")
{
    CHECK(callEndFor(whole, AfterAnswer::Keep) == CallEnd::Complete);
    CHECK(callEndFor(whole, AfterAnswer::Close) == CallEnd::Complete);
    CHECK(callEndFor(chunkedHead + "5\r\nhello\r\n0\r\n\r\n", AfterAnswer::Keep)
          == CallEnd::Complete);
    CHECK(callEndFor(chunkedHead + "5\r\nhello\r\n0\r\n\r\n", AfterAnswer::Close)
          == CallEnd::Complete);
    CHECK(callEndFor("HTTP/1.1 304 Not Modified\r\nRevision: 3\r\n\r\n", AfterAnswer::Keep)
          == CallEnd::Complete);
    CHECK(callEndFor("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", AfterAnswer::Keep)
          == CallEnd::Complete);
    CHECK(callEndFor("HTTP/1.1 200 OK\r\n\r\nuntil the end", AfterAnswer::Close)
          == CallEnd::Complete);
}

TEST_CASE("a call with a body timeout takes as long as parts of the answer arrive", "[httpcall]")
{
    constexpr Duration bodyTimeout = 200ms;
    constexpr int parts = 6;
    Loop loop;
    HttpClient client(loop, Address());
    ScriptServer server(loop, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n", AfterAnswer::Keep);
    auto request = requestTo(server.address());
    request.timeout = bodyTimeout;
    request.bodyTimeout = bodyTimeout;
    const Call call(client, std::move(request));
    REQUIRE(runUntil(loop, [&] { return call.head.has_value(); }));
    const std::string part = "x";
    SECTION("and ends as whole, even if it takes longer than the timeout")
    {
        for (int i = 0; i < parts; ++i) {
            CHECK_FALSE(runUntil(
                    loop, [&] { return call.end.has_value(); }, bodyTimeout / 2));
            server.sendMore(part);
        }
        CHECK(runUntil(loop, [&] { return call.end.has_value(); }));
        CHECK(call.end == CallEnd::Complete);
        CHECK(call.body.size() == parts);
    }
    SECTION("and ends as cut when none arrives any more")
    {
        server.sendMore(part);
        CHECK(runUntil(
                loop, [&] { return call.end.has_value(); }, 5 * bodyTimeout));
        CHECK(call.end == CallEnd::Truncated);
    }
}

TEST_CASE("a truncated answer ends the call as cut", "[httpcall]")
{
    for (const auto afterAnswer : { AfterAnswer::Close, AfterAnswer::Reset }) {
        CHECK(callEndFor("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", afterAnswer)
              == CallEnd::Truncated);
        CHECK(callEndFor("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", afterAnswer)
              == CallEnd::Truncated);
        CHECK(callEndFor(chunkedHead, afterAnswer) == CallEnd::Truncated);
        CHECK(callEndFor(chunkedHead + "5\r\nhel", afterAnswer) == CallEnd::Truncated);
        CHECK(callEndFor(chunkedHead + "5\r\nhello\r\n", afterAnswer) == CallEnd::Truncated);
        CHECK(callEndFor(chunkedHead + "5\r\nhello\r\n0\r\n", afterAnswer) == CallEnd::Truncated);
        CHECK(callEndFor(chunkedHead + "nonsense\r\n", afterAnswer) == CallEnd::Truncated);
    }
}

TEST_CASE("a call ends as lost if the connection ends before a valid head", "[httpcall]")
{
    for (const auto afterAnswer : { AfterAnswer::Close, AfterAnswer::Reset }) {
        CHECK(callEndFor("", afterAnswer) == CallEnd::Lost);
        CHECK(callEndFor("HTTP/1.1 200 O", afterAnswer) == CallEnd::Lost);
        CHECK(callEndFor("nonsense\r\n\r\n", afterAnswer) == CallEnd::Lost);
    }
}

TEST_CASE("a call to a closed port ends as not sent", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    Address gone;
    {
        const ScriptServer server(loop, whole, AfterAnswer::Keep);
        gone = server.address();
    }
    const Call call(client, requestTo(gone));
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    CHECK(*call.end == CallEnd::NotSent);
}

TEST_CASE("a call past its latest send time is not sent", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, whole, AfterAnswer::Keep);
    auto request = requestTo(server.address());
    request.writeDeadline = Loop::now().wall - 1ms;
    const Call late(client, request);
    REQUIRE(runUntil(loop, [&] { return late.end.has_value(); }));
    CHECK(*late.end == CallEnd::NotSent);
    runUntil(
            loop, [] { return false; }, 50ms);
    CHECK(server.received.empty());
}

TEST_CASE("a call ends when its timeout expires", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer silent(loop, "", AfterAnswer::Keep);
    const ScriptServer stopping(loop, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
                                AfterAnswer::Keep);
    auto first = requestTo(silent.address());
    auto second = requestTo(stopping.address());
    first.timeout = 200ms;
    second.timeout = 200ms;
    const Call lost(client, first);
    const Call cut(client, second);
    REQUIRE(runUntil(loop, [&] { return lost.end.has_value() && cut.end.has_value(); }));
    CHECK(*lost.end == CallEnd::Lost);
    CHECK(*cut.end == CallEnd::Truncated);
    CHECK(cut.body == "hello");
}

TEST_CASE("a long call ends as cut when its body stalls for the silence limit", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, chunkedHead + "5\r\nhello\r\n", AfterAnswer::Keep);
    auto request = requestTo(server.address());
    request.timeout = 1h;
    request.silence = 200ms;
    const Call call(client, request);
    REQUIRE(runUntil(loop, [&] { return call.head.has_value(); }));
    CHECK_FALSE(call.end.has_value());
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    CHECK(*call.end == CallEnd::Truncated);
}

TEST_CASE("a long call ends as lost when no head arrives within the silence limit", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, "", AfterAnswer::Keep);
    auto request = requestTo(server.address());
    request.timeout = 1h;
    request.silence = 200ms;
    const Call call(client, request);
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    CHECK(*call.end == CallEnd::Lost);
}

TEST_CASE("an idle connection is reused unless the call requires a fresh one", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, whole, AfterAnswer::Keep);
    for (auto round = 0; round < 3; ++round) {
        const Call call(client, requestTo(server.address()));
        REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
        CHECK(*call.end == CallEnd::Complete);
    }
    CHECK(server.sources.size() == 1);
    auto request = requestTo(server.address());
    request.newConnection = true;
    const Call fresh(client, request);
    REQUIRE(runUntil(loop, [&] { return fresh.end.has_value(); }));
    CHECK(server.sources.size() == 2);
}

TEST_CASE("an idle connection closed by the server is replaced by a new one", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    ScriptServer server(loop, whole, AfterAnswer::Keep);
    const Call first(client, requestTo(server.address()));
    REQUIRE(runUntil(loop, [&] { return first.end.has_value(); }));
    server.closeAll();
    runUntil(
            loop, [] { return false; }, 50ms);
    const Call second(client, requestTo(server.address()));
    REQUIRE(runUntil(loop, [&] { return second.end.has_value(); }));
    CHECK(*second.end == CallEnd::Complete);
    CHECK(server.sources.size() == 2);
}

TEST_CASE("calls are made from the configured source IP address", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, *Address::parse("127.0.0.5:0"));
    const ScriptServer server(loop, whole, AfterAnswer::Keep);
    const Call call(client, requestTo(server.address()));
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    REQUIRE(server.sources.size() == 1);
    CHECK(server.sources[0].ipText() == "127.0.0.5");
}

TEST_CASE("a paused call delivers no bytes until it is resumed", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    constexpr std::size_t size = 20000000;
    const ScriptServer server(loop,
                              "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size)
                                      + "\r\n\r\n" + std::string(size, 'x'),
                              AfterAnswer::Keep);
    const Call call(client, requestTo(server.address()));
    REQUIRE(runUntil(loop, [&] { return call.head.has_value(); }));
    call.call->pause();
    const auto before = call.body.size();
    runUntil(
            loop, [] { return false; }, 200ms);
    CHECK(call.body.size() == before);
    call.call->resume();
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    CHECK(*call.end == CallEnd::Complete);
    CHECK(call.body.size() == size);
}
