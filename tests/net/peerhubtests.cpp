/// Tests of `PeerHub` and its connections between hosts.
#include "looprun.h"

#include "net/connector.h"
#include "net/listener.h"
#include "net/peerhub.h"

#include <flamingograde/config.h>

#include <h2o.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace flamingograde;
using namespace flamingograde::net;

namespace {

/// A host with its listener and the events posted to it.
class TestHost
{
public:
    TestHost(Loop &loop, const std::string &name, std::uint64_t incarnation = 1)
    {
        auto opened = Listener::open(
                loop, *Address::parse("127.0.0.1:0"),
                [this](st_h2o_socket_t *connection) { this->hub->accept(connection); });
        REQUIRE(opened);
        this->listener = std::move(*opened);
        this->self.name = name;
        this->self.id = HostId::ofName(name);
        this->self.zoneName = "z1";
        this->self.zone = ZoneId::ofName("z1");
        this->self.peer = this->listener->bound();
        this->self.relay = *Address::parse("127.0.0.1:1");
        this->self.incarnation = incarnation;
        this->hub = std::make_unique<PeerHub>(
                loop, this->self, Address(),
                [this](Event event) { this->events.push_back(std::move(event)); },
                [](LogEvent, const std::string &text) { UNSCOPED_INFO(text); });
    }

    template<typename E>
    [[nodiscard]] auto count() const -> std::size_t
    {
        return countOf<E>(this->events);
    }

    template<typename E>
    [[nodiscard]] auto last() const -> const E &
    {
        const auto found =
                std::find_if(this->events.rbegin(), this->events.rend(),
                             [](const Event &event) { return std::holds_alternative<E>(event); });
        REQUIRE(found != this->events.rend());
        return std::get<E>(*found);
    }

    Member self;
    std::vector<Event> events;
    std::unique_ptr<Listener> listener;
    std::unique_ptr<PeerHub> hub;
};

auto hasReceivedPing(const TestHost &host, std::uint64_t sequence) -> bool
{
    return host.count<PeerMessage>() > 0
           && std::get<Ping>(host.last<PeerMessage>().message).sequence == sequence;
}

} // namespace

TEST_CASE("two hosts exchange Hello and then messages", "[peerhub]")
{
    Loop loop;
    TestHost a(loop, "a");
    TestHost b(loop, "b");
    a.hub->connect(b.self.id, b.self.peer);
    REQUIRE(runUntil(loop, [&] { return a.count<PeerUp>() == 1 && b.count<PeerUp>() == 1; }));
    CHECK(a.last<PeerUp>().member.name == "b");
    CHECK(b.last<PeerUp>().member.name == "a");
    CHECK(b.last<PeerUp>().member.peer == a.self.peer);

    a.hub->send(b.self.id, Ping { 7, {} });
    REQUIRE(runUntil(loop, [&] { return hasReceivedPing(b, 7); }));
    CHECK(b.last<PeerMessage>().from == a.self.id);
    b.hub->send(a.self.id, Ping { 8, {} });
    REQUIRE(runUntil(loop, [&] { return hasReceivedPing(a, 8); }));

    const std::string text(config::tableBytesMax, 'x');
    a.hub->send(b.self.id, TableBody { Revision { 3 }, text });
    REQUIRE(runUntil(loop, [&] { return b.count<PeerMessage>() == 2; }));
    CHECK(std::get<TableBody>(b.last<PeerMessage>().message).text == text);
    CHECK(a.hub->traffic().bytesSent > text.size());
    CHECK(b.hub->traffic().messagesReceived == 3);
}

TEST_CASE("a host dropped at any point of a dial stays disconnected and can be dialled again",
          "[peerhub]")
{
    // Guards against a `Hello` that arrives in the loop turn after the drop and refers to a
    // connection that no longer exists.
    constexpr int dialTurns = 25;
    Loop loop;
    for (int turns = 0; turns < dialTurns; ++turns) {
        INFO("dropped after " << turns << " turns");
        TestHost a(loop, "a");
        TestHost b(loop, "b");
        a.hub->connect(b.self.id, b.self.peer);
        for (int i = 0; i < turns; ++i) {
            loop.turn(std::chrono::milliseconds(1));
        }
        a.hub->drop(b.self.id);
        const auto isUp = a.count<PeerUp>() == 1;
        for (int i = 0; i < dialTurns; ++i) {
            loop.turn(std::chrono::milliseconds(1));
        }
        CHECK(a.count<PeerUp>() == (isUp ? 1 : 0));
        CHECK_NOTHROW(a.hub->send(b.self.id, Ping { 1, {} }));
        a.hub->connect(b.self.id, b.self.peer);
        CHECK(runUntil(loop, [&] { return a.count<PeerUp>() == (isUp ? 2 : 1); }));
    }
}

TEST_CASE("two hosts that dial each other keep one connection", "[peerhub]")
{
    Loop loop;
    TestHost a(loop, "a");
    TestHost b(loop, "b");
    a.hub->connect(b.self.id, b.self.peer);
    b.hub->connect(a.self.id, a.self.peer);
    REQUIRE(runUntil(loop, [&] { return a.count<PeerUp>() == 1 && b.count<PeerUp>() == 1; }));
    runUntil(
            loop, [] { return false; }, std::chrono::milliseconds(200));
    CHECK(a.count<PeerDown>() == 0);
    CHECK(b.count<PeerDown>() == 0);
    a.hub->send(b.self.id, Ping { 1, {} });
    b.hub->send(a.self.id, Ping { 2, {} });
    CHECK(runUntil(loop, [&] { return hasReceivedPing(b, 1) && hasReceivedPing(a, 2); }));
}

TEST_CASE("dialling a host whose process has exited reports a refused connection", "[peerhub]")
{
    Loop loop;
    TestHost a(loop, "a");
    auto gone = std::make_unique<TestHost>(loop, "gone");
    const auto address = gone->self.peer;
    gone.reset();
    a.hub->connect(HostId::ofName("gone"), address);
    REQUIRE(runUntil(loop, [&] { return a.count<PeerDown>() == 1; }));
    CHECK(a.last<PeerDown>().loss == PeerLoss::Refused);
    CHECK(a.last<PeerDown>().host == HostId::ofName("gone"));
}

TEST_CASE("a connection closed by the other host is reported as down", "[peerhub]")
{
    Loop loop;
    TestHost a(loop, "a");
    TestHost b(loop, "b");
    a.hub->connect(b.self.id, b.self.peer);
    REQUIRE(runUntil(loop, [&] { return a.count<PeerUp>() == 1 && b.count<PeerUp>() == 1; }));
    b.hub->drop(a.self.id);
    REQUIRE(runUntil(loop, [&] { return a.count<PeerDown>() == 1; }));
    CHECK(a.last<PeerDown>().loss == PeerLoss::Closed);
    CHECK(b.count<PeerDown>() == 0);
}

TEST_CASE("a host that accepts a connection but sends nothing is reported as silent", "[peerhub]")
{
    Loop loop;
    TestHost a(loop, "a");
    std::vector<st_h2o_socket_t *> held;
    const auto mute =
            Listener::open(loop, *Address::parse("127.0.0.1:0"),
                           [&](st_h2o_socket_t *connection) { held.push_back(connection); });
    REQUIRE(mute);
    a.hub->connect(HostId::ofName("mute"), (*mute)->bound());
    REQUIRE(runUntil(loop, [&] { return a.count<PeerDown>() == 1; }));
    CHECK(a.last<PeerDown>().loss == PeerLoss::Silent);
    for (auto *connection : held) {
        h2o_socket_close(connection);
    }
}

TEST_CASE("invalid input closes its connection, and another host can still connect", "[peerhub]")
{
    Loop loop;
    TestHost a(loop, "a");
    TestHost b(loop, "b");
    for (const std::string input :
         { "GET / HTTP/1.1\r\n\r\n", "\0\0\0\0\0\0", "\xff\xfe\r\n\r\n\r\n\r\n",
           "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
           "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n" }) {
        auto closed = false;
        st_h2o_socket_t *sender = nullptr;
        const Connector connector(loop, Address(), a.self.peer, std::chrono::seconds(1),
                                  [&](st_h2o_socket_t *socket, int) { sender = socket; });
        REQUIRE(runUntil(loop, [&] { return sender != nullptr; }));
        sender->data = &closed;
        auto buffer = h2o_iovec_init(input.data(), input.size());
        h2o_socket_write(sender, &buffer, 1, [](h2o_socket_t *, const char *) {});
        h2o_socket_read_start(sender, [](h2o_socket_t *socket, const char *error) {
            *static_cast<bool *>(socket->data) |= error != nullptr;
        });
        CHECK(runUntil(loop, [&] { return closed; }));
        h2o_socket_close(sender);
    }
    CHECK(a.events.empty());
    b.hub->connect(a.self.id, a.self.peer);
    CHECK(runUntil(loop, [&] { return a.count<PeerUp>() == 1 && b.count<PeerUp>() == 1; }));
}

TEST_CASE("a connection from a restarted host replaces that of its former process", "[peerhub]")
{
    Loop loop;
    TestHost a(loop, "a");
    TestHost before(loop, "b", 1);
    before.hub->connect(a.self.id, a.self.peer);
    REQUIRE(runUntil(loop, [&] { return a.count<PeerUp>() == 1 && before.count<PeerUp>() == 1; }));
    TestHost after(loop, "b", 2);
    after.hub->connect(a.self.id, a.self.peer);
    REQUIRE(runUntil(loop, [&] { return a.count<PeerUp>() == 2 && after.count<PeerUp>() == 1; }));
    CHECK(a.last<PeerUp>().member.incarnation == 2);
    a.hub->send(after.self.id, Ping { 5, {} });
    CHECK(runUntil(loop, [&] { return hasReceivedPing(after, 5); }));
}

namespace {

/// Forwards bytes between incoming connections and a target until it is silenced.
class TcpProxy
{
public:
    TcpProxy(Loop &owner, Address to) : loop(owner), target(to)
    {
        auto opened = Listener::open(loop, *Address::parse("127.0.0.1:0"),
                                     [this](st_h2o_socket_t *accepted) { this->accept(accepted); });
        REQUIRE(opened);
        this->listener = std::move(*opened);
    }
    ~TcpProxy()
    {
        for (const auto &pair : this->pairs) {
            for (auto *socket : pair->sockets) {
                if (socket != nullptr) {
                    h2o_socket_close(socket);
                }
            }
        }
    }
    TcpProxy(const TcpProxy &) = delete;
    auto operator=(const TcpProxy &) -> TcpProxy & = delete;

    /// Discards all further bytes on the open connections; new connections work normally.
    auto silence() -> void
    {
        for (const auto &pair : this->pairs) {
            pair->silent = true;
        }
    }

    [[nodiscard]] auto address() const -> Address { return this->listener->bound(); }

private:
    struct Pair
    {
        std::array<st_h2o_socket_t *, 2> sockets {};
        std::unique_ptr<Connector> connector;
        bool silent = false;
    };

    auto accept(st_h2o_socket_t *accepted) -> void
    {
        this->pairs.push_back(std::make_unique<Pair>());
        auto *pair = this->pairs.back().get();
        pair->sockets[0] = accepted;
        pair->connector = std::make_unique<Connector>(
                this->loop, Address(), this->target, std::chrono::seconds(1),
                [pair](st_h2o_socket_t *connected, int) {
                    REQUIRE(connected != nullptr);
                    pair->sockets[1] = connected;
                    for (auto *socket : pair->sockets) {
                        socket->data = pair;
                        h2o_socket_read_start(socket, &TcpProxy::pass);
                    }
                });
    }

    static auto pass(st_h2o_socket_t *from, const char *error) -> void
    {
        auto *pair = static_cast<Pair *>(from->data);
        auto *to = pair->sockets[from == pair->sockets[0] ? 1 : 0];
        if (error != nullptr) {
            h2o_socket_read_stop(from);
            return;
        }
        if (!pair->silent) {
            // The data fits into the kernel's send buffer, so the write succeeds immediately.
            REQUIRE(::write(h2o_socket_get_fd(to), from->input->bytes, from->input->size) > 0);
        }
        h2o_buffer_consume(&from->input, from->input->size);
    }

    Loop &loop;
    Address target;
    std::unique_ptr<Listener> listener;
    std::vector<std::unique_ptr<Pair>> pairs;
};

} // namespace

TEST_CASE("a silent connection is replaced without reporting the host as down", "[peerhub]")
{
    Loop loop;
    TestHost a(loop, "a");
    TestHost b(loop, "b");
    TcpProxy proxy(loop, b.self.peer);
    a.hub->connect(b.self.id, proxy.address());
    REQUIRE(runUntil(loop, [&] { return a.count<PeerUp>() == 1 && b.count<PeerUp>() == 1; }));
    proxy.silence();
    const auto replaced = [&] {
        a.hub->send(b.self.id, Ping { 1, {} });
        b.hub->send(a.self.id, Ping { 2, {} });
        return a.count<PeerMessage>() > 0 && b.count<PeerMessage>() > 0;
    };
    const auto before = Loop::now().mono;
    CHECK(runUntil(loop, replaced));
    CHECK(Loop::now().mono - before < config::silenceTimeout);
    CHECK(a.count<PeerDown>() == 0);
    CHECK(b.count<PeerDown>() == 0);
    runUntil(
            loop, [] { return false; }, config::silenceTimeout);
    CHECK(a.count<PeerDown>() == 0);
    CHECK(b.count<PeerDown>() == 0);
}

TEST_CASE("a host that stays silent is reported as down", "[peerhub]")
{
    Loop loop;
    TestHost a(loop, "a");
    TestHost b(loop, "b");
    TcpProxy proxy(loop, b.self.peer);
    a.hub->connect(b.self.id, proxy.address());
    REQUIRE(runUntil(loop, [&] { return a.count<PeerUp>() == 1 && b.count<PeerUp>() == 1; }));
    proxy.silence();
    b.hub.reset();
    const auto before = Loop::now().mono;
    std::vector<st_h2o_socket_t *> held;
    SECTION("new connections are accepted but stay silent")
    {
        const auto peer = b.listener->bound();
        b.listener.reset();
        const auto mute = Listener::open(loop, peer,
                                         [&](st_h2o_socket_t *socket) { held.push_back(socket); });
        REQUIRE(mute);
        REQUIRE(runUntil(loop, [&] { return a.count<PeerDown>() == 1; }));
        CHECK(a.last<PeerDown>().loss == PeerLoss::Silent);
    }
    SECTION("new connections are refused")
    {
        b.listener.reset();
        REQUIRE(runUntil(loop, [&] { return a.count<PeerDown>() == 1; }));
        CHECK(a.last<PeerDown>().loss == PeerLoss::Refused);
        CHECK(Loop::now().mono - before < config::silenceTimeout);
    }
    for (auto *socket : held) {
        h2o_socket_close(socket);
    }
}
