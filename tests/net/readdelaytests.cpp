/// How long datagrams may have waited to be read.
#include "net/readdelay.h"

#include <catch2/catch.hpp>

using namespace flamingograde;
using namespace flamingograde::net;
using namespace std::chrono_literals;

TEST_CASE("a datagram that is read after a pause of the process may have waited for it",
          "[packets]")
{
    ReadDelay delay;
    CHECK(delay.noteBatch(MonoTime(100s), false)
          >= 100s); // Nothing is known before the first read.
    for (auto now = MonoTime(100s); now < MonoTime(101s); now += 50ms) {
        delay.noteTick(now);
    }
    CHECK(delay.noteBatch(MonoTime(101s), false) <= 100ms);
    // The tick may come first after a pause, before the loop has read what arrived in it.
    delay.noteTick(MonoTime(104s));
    CHECK(delay.noteBatch(MonoTime(104s), false) >= 3s);
}

TEST_CASE("datagrams left over from a full batch have waited longer", "[packets]")
{
    ReadDelay delay;
    delay.noteBatch(MonoTime(100s), false);
    CHECK(delay.noteBatch(MonoTime(100s) + 20ms, true) == 20ms);
    delay.noteTick(MonoTime(100s) + 50ms);
    delay.noteTick(MonoTime(100s) + 100ms);
    CHECK(delay.noteBatch(MonoTime(100s) + 100ms, false) == 100ms);
}
