/// Tests of the loop.
#include "net/loop.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace flamingograde;
using namespace flamingograde::net;
using namespace std::chrono_literals;

TEST_CASE("a turn does not wait after tasks that may have written", "[loop]")
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
