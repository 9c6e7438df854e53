/// Tests of the exchange transport: incoming requests, forwarding and answers.
#include "looprun.h"
#include "scriptserver.h"

#include "net/exchangetransport.h"
#include "net/httpcall.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace flamingograde;
using namespace flamingograde::net;
using namespace std::chrono_literals;

namespace {

const auto rowAddress = *Address::parse("10.9.0.1:80");
const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Own: 1\r\n"
                          "Flamingograde-Verdict: unknown\r\n\r\nhello";
const std::string feedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";

/// The transport of a host; the test issues the actions that the core library would decide on.
class Host
{
public:
    Host()
        : client(loop, Address()),
          exchanges(loop, client, "h1",
                    [this](Event event) { this->events.push_back(std::move(event)); }),
          callers(loop, 1000000,
                  [this](st_h2o_req_t *request, Address row) {
                      this->exchanges.acceptCaller(request, row);
                  }),
          relays(loop, 1000000,
                 [this](st_h2o_req_t *request, Address) { this->exchanges.acceptRelay(request); })
    {
        const auto any = *Address::parse("127.0.0.1:0");
        this->callerAddress = *this->callers.listen(any, rowAddress);
        this->relayAddress = *this->relays.listen(any, any);
    }

    template<typename E>
    [[nodiscard]] auto count() const -> std::size_t
    {
        return countOf<E>(this->events);
    }

    /// Waits for the next event of type `E`, then removes it and all events before it.
    template<typename E>
    auto take() -> E
    {
        REQUIRE(runUntil(this->loop, [&] { return this->count<E>() > 0; }));
        const auto found =
                std::find_if(this->events.begin(), this->events.end(),
                             [](const Event &event) { return std::holds_alternative<E>(event); });
        auto event = std::get<E>(std::move(*found));
        this->events.erase(this->events.begin(), found + 1);
        return event;
    }

    /// Waits for the next progress event of `exchange` and removes only that event.
    auto takeProgressOf(ExchangeId exchange, Progress progress) -> ExchangeProgress
    {
        const auto isOfExchange = [exchange](const Event &event) {
            const auto *report = std::get_if<ExchangeProgress>(&event);
            return report != nullptr && report->exchange == exchange;
        };
        const auto find = [&] {
            return std::find_if(this->events.begin(), this->events.end(), isOfExchange);
        };
        REQUIRE(runUntil(this->loop, [&] { return find() != this->events.end(); }));
        const auto found = find();
        auto report = std::get<ExchangeProgress>(std::move(*found));
        this->events.erase(found);
        CHECK(report.progress == progress);
        return report;
    }

    auto takeProgress(Progress progress) -> ExchangeProgress
    {
        auto report = this->take<ExchangeProgress>();
        CHECK(report.progress == progress);
        return report;
    }

    auto wait(Duration time) -> void
    {
        runUntil(
                this->loop, [] { return false; }, time);
    }

    Loop loop;
    HttpClient client;
    std::vector<Event> events;
    ExchangeTransport exchanges;
    HttpServer callers;
    HttpServer relays;
    Address callerAddress;
    Address relayAddress;
};

/// A caller and the answer it received.
struct Caller
{
    std::optional<HttpHead> head;
    std::string body;
    std::optional<CallEnd> end;
    std::unique_ptr<HttpCall> call;

    Caller(Host &host, const std::string &request, Address target, Duration timeout = 20s)
    {
        HttpRequest sent;
        sent.target = target;
        sent.head = request;
        sent.timeout = timeout;
        sent.newConnection = true;
        CallHandlers handlers;
        handlers.onHead = [this](HttpHead received) { this->head = std::move(received); };
        handlers.onBody = [this](std::string_view bytes) { this->body.append(bytes); };
        handlers.onEnd = [this](CallEnd callEnd, int) { this->end = callEnd; };
        this->call = std::make_unique<HttpCall>(host.client, std::move(sent), std::move(handlers));
        this->call->start();
    }
};

const std::string get = "GET /a?b=c HTTP/1.1\r\nHost: x\r\nCookie: x=1; flamingograde=TOK; y=2\r\n"
                        "Idempotency-Key: k1\r\nFlamingograde-Timeout: 700\r\nAccept: t/x\r\n\r\n";
const std::string feed = "GET /f HTTP/1.1\r\nHost: x\r\nLast-Event-ID: 4\r\n\r\n";

auto dispatchTo(const ScriptServer &server, ExchangeId exchange) -> Dispatch
{
    Dispatch action;
    action.exchange = exchange;
    action.attempt = 3;
    action.address = server.address();
    action.service = "pack";
    action.rowName = "reads";
    action.key = "k1";
    action.freshConnection = true;
    action.remaining = 5s;
    action.expires = Loop::now().wall + 5s;
    return action;
}

auto openFeedAt(const ScriptServer &server, ExchangeId exchange, std::uint32_t attempt) -> OpenFeed
{
    OpenFeed action;
    action.exchange = exchange;
    action.attempt = attempt;
    action.address = server.address();
    action.service = "pack";
    action.rowName = "feed";
    action.reopen = attempt > 1;
    return action;
}

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

/// Encodes `text` as one HTTP chunk.
auto chunk(const std::string &text) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    REQUIRE(text.size() < 256);
    return std::string { digits[text.size() / 16], digits[text.size() % 16] } + "\r\n" + text
           + "\r\n";
}

} // namespace

TEST_CASE("a request is reported, dispatched and answered, and its answer can be replayed",
          "[exchange]")
{
    Host host;
    const ScriptServer upstream(host.loop, whole, AfterAnswer::Close);
    const Caller caller(host, get, host.callerAddress);
    const auto arrived = host.take<CallerArrived>();
    CHECK(arrived.address == rowAddress);
    CHECK(arrived.token == "TOK");
    CHECK(arrived.key == "k1");
    CHECK(arrived.timeout == 700ms);

    auto action = dispatchTo(upstream, arrived.exchange);
    action.keepAnswer = true;
    host.exchanges.act(action);
    const auto report = host.takeProgress(Progress::Answering);
    CHECK(report.attempt == 3);
    REQUIRE(report.head);
    CHECK(report.head->status == 200);
    CHECK_FALSE(report.head->refusal);
    CHECK(contains(upstream.received, "GET /a?b=c HTTP/1.1\r\n"));
    CHECK(contains(upstream.received, "host: pack\r\n"));
    CHECK(contains(upstream.received, "flamingograde-row: reads\r\n"));
    CHECK(contains(upstream.received, "idempotency-key: k1\r\n"));
    CHECK(contains(upstream.received, "flamingograde-deadline: 1"));
    CHECK(contains(upstream.received, "accept: t/x\r\n"));

    host.exchanges.act(PassAnswer { arrived.exchange, "NEW" });
    const auto answered = host.takeProgress(Progress::Answered);
    CHECK(answered.whole != nullptr);
    REQUIRE(runUntil(host.loop, [&] { return caller.end.has_value(); }));
    CHECK(*caller.end == CallEnd::Complete);
    CHECK(caller.body == "hello");
    CHECK(caller.head->header("x-own") == "1");
    CHECK(caller.head->header("flamingograde-verdict") == "run");
    CHECK(contains(std::string(caller.head->header("set-cookie")), "flamingograde=NEW"));
    host.wait(20ms);
    CHECK(host.exchanges.size() == 0);
    CHECK(host.events.empty());

    const Caller second(host, get, host.callerAddress);
    host.exchanges.act(ReplayAnswer { host.take<CallerArrived>().exchange, answered.whole });
    REQUIRE(runUntil(host.loop, [&] { return second.end.has_value(); }));
    CHECK(second.body == "hello");
    CHECK(second.head->header("x-own") == "1");
    CHECK(second.head->header("flamingograde-verdict") == "run");
    CHECK(second.head->header("set-cookie").empty());
}

TEST_CASE("a truncated upstream answer reaches the caller as cut", "[exchange]")
{
    Host host;
    const auto part =
            GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    const ScriptServer upstream(host.loop, part, AfterAnswer::Close);
    const Caller caller(host, get, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    host.exchanges.act(dispatchTo(upstream, id));
    host.takeProgress(Progress::Answering);
    host.exchanges.act(PassAnswer { id, "" });
    host.takeProgress(Progress::Cut);
    host.exchanges.act(AbortAnswer { id });
    REQUIRE(runUntil(host.loop, [&] { return caller.end.has_value(); }));
    CHECK(*caller.end == CallEnd::Truncated);
    host.wait(20ms);
    CHECK(host.exchanges.size() == 0);
    CHECK(host.events.empty());
}

TEST_CASE("a refusal reaches the caller with its reason, verdict and retry delay", "[exchange]")
{
    Host host;
    const Caller caller(host, get, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    host.exchanges.act(Refuse { id, { RefusalReason::QueueFull, Verdict::NotRun, 1500ms } });
    REQUIRE(runUntil(host.loop, [&] { return caller.end.has_value(); }));
    CHECK(caller.head->status == 503);
    CHECK(caller.head->header("flamingograde-reason") == "queue-full");
    CHECK(caller.head->header("flamingograde-verdict") == "not-run");
    CHECK(caller.head->header("retry-after") == "2");
    CHECK(contains(caller.body, "\"retry_after_ms\":1500"));
    host.wait(20ms);
    CHECK(host.exchanges.size() == 0);
    CHECK(host.events.empty());
}

TEST_CASE("a caller's disconnection is reported and Cancel ends its exchange", "[exchange]")
{
    Host host;
    const ScriptServer upstream(host.loop, "", AfterAnswer::Keep);
    auto caller = std::make_unique<Caller>(host, get, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    host.exchanges.act(dispatchTo(upstream, id));
    REQUIRE(runUntil(host.loop, [&] { return !upstream.received.empty(); }));
    caller.reset();
    CHECK(host.take<CallerLeft>().exchange == id);
    CHECK(host.exchanges.size() == 1);
    host.exchanges.act(Cancel { id });
    host.wait(20ms);
    CHECK(host.exchanges.size() == 0);
    CHECK(host.events.empty());
}

TEST_CASE("a call continues after its caller disconnects unless it is cancelled", "[exchange]")
{
    Host host;
    const ScriptServer upstream(host.loop, whole, AfterAnswer::Keep);
    auto caller = std::make_unique<Caller>(host, get, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    auto action = dispatchTo(upstream, id);
    action.keepAnswer = true;
    host.exchanges.act(action);
    caller.reset();
    host.take<CallerLeft>();
    host.takeProgress(Progress::Answering);
    const auto answered = host.takeProgress(Progress::Answered);
    CHECK(answered.whole != nullptr);
    host.wait(20ms);
    CHECK(host.exchanges.size() == 0);
}

TEST_CASE("a request whose first attempt was not sent can be dispatched again", "[exchange]")
{
    Host host;
    const ScriptServer upstream(host.loop, whole, AfterAnswer::Close);
    const Caller caller(host, get, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    auto late = dispatchTo(upstream, id);
    late.expires = Loop::now().wall - 1s;
    host.exchanges.act(late);
    host.takeProgress(Progress::NotSent);
    CHECK(upstream.received.empty());
    host.exchanges.act(dispatchTo(upstream, id));
    host.takeProgress(Progress::Answering);
    host.exchanges.act(PassAnswer { id, "" });
    REQUIRE(runUntil(host.loop, [&] { return caller.end.has_value(); }));
    CHECK(*caller.end == CallEnd::Complete);
}

TEST_CASE("a dispatch for an unknown exchange reports that nothing was sent", "[exchange]")
{
    Host host;
    const ScriptServer upstream(host.loop, whole, AfterAnswer::Close);
    host.exchanges.act(dispatchTo(upstream, ExchangeId(99)));
    CHECK(host.takeProgress(Progress::NotSent).exchange == ExchangeId(99));
    host.exchanges.act(PassAnswer { ExchangeId(99), "" });
    host.exchanges.act(Cancel { ExchangeId(99) });
    CHECK(host.events.empty());
}

TEST_CASE("a reopened feed continues in the same answer after its upstream connection is cut",
          "[exchange]")
{
    Host host;
    const ScriptServer first(host.loop,
                             feedHead + chunk("id: 5\ndata: a\n\n") + chunk("id: 6\ndata:"),
                             GENERATE(AfterAnswer::Close, AfterAnswer::Reset));
    const ScriptServer second(host.loop,
                              feedHead + chunk("id: 6\ndata: b\n\nid: 7\ndata: c\n\nid: 8"),
                              AfterAnswer::Keep);
    const Caller caller(host, feed, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    host.exchanges.act(openFeedAt(first, id, 1));
    host.takeProgress(Progress::Answering);
    host.exchanges.act(PassAnswer { id, "TOK" });
    host.takeProgress(Progress::Cut);
    CHECK(contains(first.received, "last-event-id: 4\r\n"));

    host.exchanges.act(openFeedAt(second, id, 2));
    CHECK(host.takeProgress(Progress::Answering).attempt == 2);
    CHECK(contains(second.received, "last-event-id: 5\r\n"));
    const std::string events = ":\n\nid: 5\ndata: a\n\nid: 6\ndata: b\n\nid: 7\ndata: c\n\n";
    REQUIRE(runUntil(host.loop, [&] { return caller.body.size() >= events.size(); }));
    CHECK(caller.body == events);

    host.exchanges.act(EndFeed { id });
    CHECK(host.takeProgress(Progress::Answered).attempt == 2);
    REQUIRE(runUntil(host.loop, [&] { return caller.end.has_value(); }));
    CHECK(*caller.end == CallEnd::Complete);
    CHECK(caller.body == events);
    host.wait(20ms);
    CHECK(host.exchanges.size() == 0);
    CHECK(host.events.empty());
}

TEST_CASE("a feed ended by its upstream is reported as cut and stays open for the caller",
          "[exchange]")
{
    Host host;
    const ScriptServer upstream(host.loop, feedHead + chunk("id: 5\n\n") + "0\r\n\r\n",
                                AfterAnswer::Keep);
    const Caller caller(host, feed, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    host.exchanges.act(openFeedAt(upstream, id, 1));
    host.takeProgress(Progress::Answering);
    host.exchanges.act(PassAnswer { id, "" });
    host.takeProgress(Progress::Cut);
    host.wait(20ms);
    CHECK_FALSE(caller.end.has_value());
}

TEST_CASE("the head of a feed reaches the caller before the first event", "[exchange]")
{
    Host host;
    const ScriptServer upstream(host.loop, feedHead, AfterAnswer::Keep);
    const Caller caller(host, feed, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    host.exchanges.act(openFeedAt(upstream, id, 1));
    host.takeProgress(Progress::Answering);
    host.exchanges.act(PassAnswer { id, "TOK" });
    REQUIRE(runUntil(
            host.loop, [&] { return caller.head.has_value(); }, 1s));
    CHECK(caller.head->header("content-type") == "text/event-stream");
    CHECK_FALSE(caller.end.has_value());
}

TEST_CASE("an idle feed sends keep-alive comments to the caller", "[exchange]")
{
    Host host;
    const ScriptServer upstream(host.loop, feedHead + chunk("id: 5\n\n") + chunk("id: 6\nda"),
                                AfterAnswer::Keep);
    const Caller caller(host, feed, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    host.exchanges.act(openFeedAt(upstream, id, 1));
    host.takeProgress(Progress::Answering);
    host.exchanges.act(PassAnswer { id, "" });
    const std::string expected = ":\n\nid: 5\n\n:\n\n";
    REQUIRE(runUntil(host.loop, [&] { return caller.body.size() >= expected.size(); }));
    CHECK(caller.body == expected);
}

TEST_CASE("an upstream's error answer to a feed reaches the caller unchanged", "[exchange]")
{
    Host host;
    const ScriptServer upstream(host.loop, "HTTP/1.1 404 No\r\nContent-Length: 3\r\n\r\nno\n",
                                AfterAnswer::Keep);
    const Caller caller(host, feed, host.callerAddress);
    const auto id = host.take<CallerArrived>().exchange;
    host.exchanges.act(openFeedAt(upstream, id, 1));
    CHECK(host.takeProgress(Progress::Answering).head->status == 404);
    host.exchanges.act(PassAnswer { id, "" });
    host.takeProgress(Progress::Answered);
    REQUIRE(runUntil(host.loop, [&] { return caller.end.has_value(); }));
    CHECK(caller.head->status == 404);
    CHECK(caller.body == "no\n");
}

TEST_CASE("a relayed request arrives at its home host with all relay headers", "[exchange]")
{
    Host entry;
    Host &home = entry; // One host plays both roles and relays to its own relay address.
    const ScriptServer upstream(entry.loop, whole, AfterAnswer::Close);
    const Caller caller(entry, get, entry.callerAddress);
    const auto id = entry.take<CallerArrived>().exchange;
    Relay relay;
    relay.exchange = id;
    relay.attempt = 1;
    relay.address = home.relayAddress;
    relay.rowName = "reads";
    relay.rowAddress = rowAddress;
    relay.upstream = UpstreamId(0xabcdef0123456789);
    relay.key = "k1";
    relay.remaining = 3s;
    entry.exchanges.act(relay);
    const auto arrived = home.take<RelayArrived>();
    CHECK(arrived.from == HostId::ofName("h1"));
    CHECK(arrived.row == RowId::ofName("reads"));
    CHECK(arrived.address == rowAddress);
    CHECK(arrived.upstream == relay.upstream);
    CHECK(arrived.key == "k1");
    CHECK(arrived.remaining == 3s);

    SECTION("the upstream's answer reaches the caller")
    {
        home.exchanges.act(dispatchTo(upstream, arrived.exchange));
        home.takeProgressOf(arrived.exchange, Progress::Answering);
        CHECK(contains(upstream.received, "GET /a?b=c HTTP/1.1\r\n"));
        home.exchanges.act(PassAnswer { arrived.exchange, "" });
        // The home host's `Answered` may be reported before or after the entry host's `Answering`.
        const auto report = entry.takeProgressOf(id, Progress::Answering);
        home.takeProgressOf(arrived.exchange, Progress::Answered);
        CHECK_FALSE(report.head->refusal);
        entry.exchanges.act(PassAnswer { id, "" });
        REQUIRE(runUntil(entry.loop, [&] { return caller.end.has_value(); }));
        CHECK(*caller.end == CallEnd::Complete);
        CHECK(caller.body == "hello");
        CHECK(caller.head->header("flamingograde-verdict") == "run");
    }
    SECTION("the home host's refusal reaches the entry host")
    {
        home.exchanges.act(
                Refuse { arrived.exchange, { RefusalReason::WrongHome, Verdict::NotRun, 1s } });
        const auto report = entry.takeProgress(Progress::Answering);
        CHECK(report.exchange == id);
        REQUIRE(report.head);
        CHECK(report.head->refusal);
        CHECK(report.head->reason == RefusalReason::WrongHome);
        CHECK(report.head->verdict == Verdict::NotRun);
        CHECK(report.head->retryAfter == 1s);
    }
}

TEST_CASE("a relayed request without relay headers is rejected with status 400", "[exchange]")
{
    Host host;
    const Caller caller(host, get, host.relayAddress);
    REQUIRE(runUntil(host.loop, [&] { return caller.end.has_value(); }));
    CHECK(caller.head->status == 400);
    CHECK(host.events.empty());
}

TEST_CASE("a body above the server's size limit is refused with the verdict not-run", "[exchange]")
{
    Host host;
    const Caller caller(host,
                        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000001\r\n\r\n"
                                + std::string(100, 'x'),
                        host.callerAddress);
    REQUIRE(runUntil(host.loop, [&] { return caller.head.has_value(); }));
    CHECK(caller.head->status == 413);
    CHECK(caller.head->header("flamingograde-verdict") == "not-run");
    CHECK(caller.head->header("flamingograde-reason") == "too-large");
    CHECK(host.events.empty());
}

TEST_CASE("a large body and a large answer are transferred completely", "[exchange]")
{
    Host host;
    const std::string body(900000, 'b');
    const std::string answer(5000000, 'a');
    const ScriptServer upstream(host.loop,
                                "HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n" + answer,
                                AfterAnswer::Keep);
    const Caller caller(host,
                        "POST /u HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n"
                                + body.substr(0, body.size() - 4) + "\r\n\r\n",
                        host.callerAddress);
    const auto arrived = host.take<CallerArrived>();
    CHECK(arrived.bodyBytes == body.size());
    host.exchanges.act(dispatchTo(upstream, arrived.exchange));
    host.takeProgress(Progress::Answering);
    CHECK(upstream.received.size() > body.size());
    host.exchanges.act(PassAnswer { arrived.exchange, "" });
    host.takeProgress(Progress::Answered);
    REQUIRE(runUntil(host.loop, [&] { return caller.end.has_value(); }));
    CHECK(*caller.end == CallEnd::Complete);
    CHECK(caller.body == answer);
}

TEST_CASE("a caller that stops reading applies backpressure to its upstream", "[exchange]")
{
    Host host;
    std::string answer;
    answer.resize(20000000, 'a');
    const ScriptServer upstream(host.loop,
                                "HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n" + answer,
                                AfterAnswer::Keep);
    const Caller caller(host, get, host.callerAddress);
    const auto arrived = host.take<CallerArrived>();
    host.exchanges.act(dispatchTo(upstream, arrived.exchange));
    host.takeProgress(Progress::Answering);
    host.exchanges.act(PassAnswer { arrived.exchange, "" });
    REQUIRE(runUntil(host.loop, [&] { return caller.head.has_value(); }));
    caller.call->pause();
    host.wait(300ms);
    CHECK(host.count<ExchangeProgress>() == 0);
    caller.call->resume();
    host.takeProgress(Progress::Answered);
    REQUIRE(runUntil(host.loop, [&] { return caller.end.has_value(); }));
    CHECK(caller.body.size() == answer.size());
}
