/// Tests of the log line buffer, whose reader may be slow or blocked, and of the log rate limit.
#include "net/linebuffer.h"
#include "net/logratelimiter.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace flamingograde;
using namespace flamingograde::net;
using namespace std::chrono_literals;

namespace {

/// A pipe that is read only by `drain`.
class Pipe
{
public:
    Pipe() { REQUIRE(pipe(this->ends.data()) == 0); }
    ~Pipe()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }
    Pipe(const Pipe &) = delete;
    auto operator=(const Pipe &) -> Pipe & = delete;

    [[nodiscard]] auto input() const -> int { return this->ends[1]; }

    /// Reads all available bytes without blocking.
    auto drain() -> std::string
    {
        std::string text;
        std::array<char, 4096> buffer {};
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        for (;;) {
            const auto count = read(this->ends[0], buffer.data(), buffer.size());
            if (count <= 0) {
                return text;
            }
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

private:
    std::array<int, 2> ends {};
};

} // namespace

TEST_CASE("buffered lines are written completely and in order", "[log]")
{
    Pipe pipe;
    LineBuffer lines(pipe.input(), 1000);
    lines.add("one\n");
    lines.add("two\n");
    lines.flush();
    CHECK(lines.isEmpty());
    CHECK(pipe.drain() == "one\ntwo\n");
    CHECK(lines.takeDropped() == 0);
}

TEST_CASE("a blocked reader causes dropped lines but never blocks the writer", "[log]")
{
    Pipe pipe;
    constexpr std::size_t capacity = 20000;
    LineBuffer lines(pipe.input(), capacity);
    const std::string line(99, 'x');
    constexpr int count = 5000;
    // The pipe holds 64 KB. Once it and the buffer are full, lines are dropped. No call blocks.
    for (int i = 0; i < count; ++i) {
        lines.add(line + "\n");
        lines.flush();
    }
    const auto dropped = lines.takeDropped();
    CHECK(dropped > count / 2);
    CHECK(lines.takeDropped() == 0);
    std::string text = pipe.drain();
    while (!lines.isEmpty()) {
        lines.flush();
        text += pipe.drain();
    }
    CHECK(text.size() == (count - dropped) * 100);
    CHECK(text.size() % 100 == 0);
}

TEST_CASE("a burst of lines is allowed, then a fixed number per second", "[log]")
{
    LogRateLimiter allowance(10, 50);
    MonoTime now { 100s };
    int taken = 0;
    for (int i = 0; i < 200; ++i) {
        taken += allowance.take(now) ? 1 : 0;
    }
    CHECK(taken == 50);
    CHECK(allowance.takeRefused() == 150);
    for (int second = 0; second < 10; ++second) {
        now += 1s;
        for (int i = 0; i < 100; ++i) {
            taken += allowance.take(now) ? 1 : 0;
        }
    }
    CHECK(taken == 150);
    CHECK(allowance.takeRefused() == 900);
}
