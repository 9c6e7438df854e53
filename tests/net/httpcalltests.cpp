/// Tests of outgoing calls: what is reported for each way in which they can end.
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

/// A call and what it reported.
struct Call
{
    std::optional<HttpHead> head;
    std::string body;
    std::optional<CallEnd> end;
    std::unique_ptr<HttpCall> call;

    Call(HttpClient &client, HttpRequest request)
    {
        CallHandlers handlers;
        handlers.onHead = [this](HttpHead came) { this->head = std::move(came); };
        handlers.onBody = [this](std::string_view bytes) { this->body.append(bytes); };
        handlers.onEnd = [this](CallEnd how, int) { this->end = how; };
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

/// Returns how a call ends to which `script` is answered.
auto endOf(const std::string &script, Afterwards then) -> std::optional<CallEnd>
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, script, then);
    const Call call(client, requestTo(server.address()));
    runUntil(loop, [&] { return call.end.has_value(); });
    return call.end;
}

} // namespace

TEST_CASE("whole answers are whole", "[httpcall]")
{
    CHECK(endOf(whole, Afterwards::Keep) == CallEnd::Whole);
    CHECK(endOf(whole, Afterwards::Close) == CallEnd::Whole);
    CHECK(endOf(chunkedHead + "5\r\nhello\r\n0\r\n\r\n", Afterwards::Keep) == CallEnd::Whole);
    CHECK(endOf(chunkedHead + "5\r\nhello\r\n0\r\n\r\n", Afterwards::Close) == CallEnd::Whole);
    CHECK(endOf("HTTP/1.1 304 Not Modified\r\nRevision: 3\r\n\r\n", Afterwards::Keep)
          == CallEnd::Whole);
    CHECK(endOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Afterwards::Keep)
          == CallEnd::Whole);
    CHECK(endOf("HTTP/1.1 200 OK\r\n\r\nuntil the end", Afterwards::Close) == CallEnd::Whole);
}

TEST_CASE("parts of answers are cut", "[httpcall]")
{
    for (const auto then : { Afterwards::Close, Afterwards::Reset }) {
        CHECK(endOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", then) == CallEnd::Cut);
        CHECK(endOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", then) == CallEnd::Cut);
        CHECK(endOf(chunkedHead, then) == CallEnd::Cut);
        CHECK(endOf(chunkedHead + "5\r\nhel", then) == CallEnd::Cut);
        CHECK(endOf(chunkedHead + "5\r\nhello\r\n", then) == CallEnd::Cut);
        CHECK(endOf(chunkedHead + "5\r\nhello\r\n0\r\n", then) == CallEnd::Cut);
        CHECK(endOf(chunkedHead + "nonsense\r\n", then) == CallEnd::Cut);
    }
}

TEST_CASE("an answer that does not begin is lost", "[httpcall]")
{
    for (const auto then : { Afterwards::Close, Afterwards::Reset }) {
        CHECK(endOf("", then) == CallEnd::Lost);
        CHECK(endOf("HTTP/1.1 200 O", then) == CallEnd::Lost);
        CHECK(endOf("nonsense\r\n\r\n", then) == CallEnd::Lost);
    }
}

TEST_CASE("nothing is sent where nobody listens", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    Address gone;
    {
        const ScriptServer server(loop, whole, Afterwards::Keep);
        gone = server.address();
    }
    const Call call(client, requestTo(gone));
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    CHECK(*call.end == CallEnd::NotSent);
}

TEST_CASE("nothing is sent after its time", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, whole, Afterwards::Keep);
    auto request = requestTo(server.address());
    request.notAfter = Loop::now().wall - 1ms;
    const Call late(client, request);
    REQUIRE(runUntil(loop, [&] { return late.end.has_value(); }));
    CHECK(*late.end == CallEnd::NotSent);
    runUntil(
            loop, [] { return false; }, 50ms);
    CHECK(server.received.empty());
}

TEST_CASE("a call's time ends it", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer silent(loop, "", Afterwards::Keep);
    const ScriptServer stopping(loop, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
                                Afterwards::Keep);
    auto first = requestTo(silent.address());
    auto second = requestTo(stopping.address());
    first.timeout = 200ms;
    second.timeout = 200ms;
    const Call lost(client, first);
    const Call cut(client, second);
    REQUIRE(runUntil(loop, [&] { return lost.end.has_value() && cut.end.has_value(); }));
    CHECK(*lost.end == CallEnd::Lost);
    CHECK(*cut.end == CallEnd::Cut);
    CHECK(cut.body == "hello");
}

TEST_CASE("silence ends a call that may last", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, chunkedHead + "5\r\nhello\r\n", Afterwards::Keep);
    auto request = requestTo(server.address());
    request.timeout = 1h;
    request.silence = 200ms;
    const Call call(client, request);
    REQUIRE(runUntil(loop, [&] { return call.head.has_value(); }));
    CHECK_FALSE(call.end.has_value());
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    CHECK(*call.end == CallEnd::Cut);
}

TEST_CASE("silence before the head ends a call that may last", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, "", Afterwards::Keep);
    auto request = requestTo(server.address());
    request.timeout = 1h;
    request.silence = 200ms;
    const Call call(client, request);
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    CHECK(*call.end == CallEnd::Lost);
}

TEST_CASE("an idle connection is used again, a fresh one is not", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    const ScriptServer server(loop, whole, Afterwards::Keep);
    for (auto round = 0; round < 3; ++round) {
        const Call call(client, requestTo(server.address()));
        REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
        CHECK(*call.end == CallEnd::Whole);
    }
    CHECK(server.sources.size() == 1);
    auto request = requestTo(server.address());
    request.fresh = true;
    const Call fresh(client, request);
    REQUIRE(runUntil(loop, [&] { return fresh.end.has_value(); }));
    CHECK(server.sources.size() == 2);
}

TEST_CASE("an idle connection that was closed is replaced", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    ScriptServer server(loop, whole, Afterwards::Keep);
    const Call first(client, requestTo(server.address()));
    REQUIRE(runUntil(loop, [&] { return first.end.has_value(); }));
    server.closeAll();
    runUntil(
            loop, [] { return false; }, 50ms);
    const Call second(client, requestTo(server.address()));
    REQUIRE(runUntil(loop, [&] { return second.end.has_value(); }));
    CHECK(*second.end == CallEnd::Whole);
    CHECK(server.sources.size() == 2);
}

TEST_CASE("the source number is that of the settings", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, *Address::parse("127.0.0.5:0"));
    const ScriptServer server(loop, whole, Afterwards::Keep);
    const Call call(client, requestTo(server.address()));
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    REQUIRE(server.sources.size() == 1);
    CHECK(server.sources[0].ipText() == "127.0.0.5");
}

TEST_CASE("reading can be stopped and taken up again", "[httpcall]")
{
    Loop loop;
    HttpClient client(loop, Address());
    constexpr std::size_t size = 20000000;
    const ScriptServer server(loop,
                              "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size)
                                      + "\r\n\r\n" + std::string(size, 'x'),
                              Afterwards::Keep);
    const Call call(client, requestTo(server.address()));
    REQUIRE(runUntil(loop, [&] { return call.head.has_value(); }));
    call.call->pause();
    const auto before = call.body.size();
    runUntil(
            loop, [] { return false; }, 200ms);
    CHECK(call.body.size() == before);
    call.call->resume();
    REQUIRE(runUntil(loop, [&] { return call.end.has_value(); }));
    CHECK(*call.end == CallEnd::Whole);
    CHECK(call.body.size() == size);
}
