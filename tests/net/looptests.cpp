/// Tests of the event loop.
#include "net/loop.h"

#include <catch2/catch.hpp>
#include <h2o.h>

#include <malloc.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <string>

using namespace flamingograde;
using namespace flamingograde::net;
using namespace std::chrono_literals;

TEST_CASE("a turn does not wait if the previous turn ran a task that may have written", "[loop]")
{
    constexpr Duration longest = 3s;
    Loop loop;
    int ran = 0;
    const auto begin = Loop::now().mono;
    SECTION("a deferred task")
    {
        loop.defer([&] { ++ran; });
        loop.turn(longest);
        loop.turn(longest);
        CHECK(Loop::now().mono - begin < longest);
    }
    SECTION("a timer")
    {
        const auto timer = loop.after(1ms, [&] { ++ran; });
        while (ran == 0) {
            loop.turn(longest);
        }
        loop.turn(longest);
        CHECK(Loop::now().mono - begin < longest);
    }
    CHECK(ran == 1);
}

TEST_CASE("a socket written to and closed between two turns is not used after it is freed",
          "[loop]")
{
    constexpr auto freedBytePattern = 0x5a; // Makes a use after free detectable.
    mallopt(M_PERTURB, freedBytePattern);
    Loop loop;
    std::array<int, 2> ends {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
    loop.turn(0ms);
    auto *socket = h2o_evloop_socket_create(loop.raw(), ends[0], 0);
    std::string bytes = "bytes";
    auto buffer = h2o_iovec_init(bytes.data(), bytes.size());
    h2o_socket_write(socket, &buffer, 1, [](h2o_socket_t *, const char *) {});
    h2o_socket_close(socket);
    loop.turn(0ms);
    loop.turn(0ms);
    std::array<char, 8> received {};
    CHECK(recv(ends[1], received.data(), received.size(), 0) == 5);
    CHECK(recv(ends[1], received.data(), received.size(), 0) == 0);
    close(ends[1]);
    mallopt(M_PERTURB, 0);
}
