/// Tests of when a host leaves the reading of the whole directory to other hosts.
#include "packetboard.h"

#include "core/directory/directorycontroller.h"
#include "core/membership/membermerge.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <variant>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t answerSize = 250'000;  ///< Of a page of 500 upstreams.
constexpr std::size_t slowRate = 100'000;    ///< Bytes per second.
constexpr std::size_t fastRate = 50'000'000; ///< Bytes per second.

/// A starting host whose read of the whole directory is in progress.
class ReadingHost
{
public:
    ReadingHost() : board(settings())
    {
        this->board.now.mono += 100s;
        this->board.membership.self = this->board.init.self.id;
        this->board.membership.startedAt = this->board.now.mono;
        addMember(this->board, this->board.init.self);
        this->handle(Tick {});
    }

    /// Adds a connected host of the same zone, and sets the width of its link.
    auto addNeighbour(const std::string &name, std::uint32_t linkMbps) -> HostId
    {
        Member other;
        other.name = name;
        other.zoneName = "a";
        other.linkMbps = linkMbps;
        auto &record = addMember(this->board, other);
        record.connected = true;
        return record.member.id;
    }

    /// Receives an answer of `size` bytes at `bytesPerSecond` for `duration`. @returns whether the
    /// host stopped the read.
    auto receives(std::size_t bytesPerSecond, std::size_t size, Duration duration) -> bool
    {
        const auto end = this->board.now.mono + duration;
        std::size_t received = 0;
        while (this->board.now.mono < end && !this->hasStopped) {
            this->board.now.mono += config::tickPeriod;
            const std::chrono::duration<double> tick = config::tickPeriod;
            received +=
                    static_cast<std::size_t>(tick.count() * static_cast<double>(bytesPerSecond));
            this->handle(DirectoryReadProgress { std::min(received, size), size });
            this->handle(Tick {});
        }
        return this->hasStopped;
    }

    /// Advances time until the host reads again. @returns the time that passed.
    auto waitsBeforeReading() -> Duration
    {
        const auto begin = this->board.now.mono;
        this->hasRead = false;
        while (!this->hasRead && this->board.now.mono - begin < 60s) {
            this->board.now.mono += config::tickPeriod;
            this->handle(Tick {});
        }
        return this->board.now.mono - begin;
    }

    auto handle(const Event &event) -> void
    {
        this->board.outbox.clear();
        this->controller.handle(this->board, event);
        for (const auto &action : this->board.outbox) {
            if (const auto *stop = std::get_if<StopReadingDirectory>(&action)) {
                this->hasStopped = true;
                this->keepsPages = stop->keepsPages;
            }
            if (std::holds_alternative<ReadDirectory>(action)) {
                this->hasStopped = false;
                this->hasRead = true;
            }
        }
    }

    Blackboard board;
    bool hasStopped = false;
    bool keepsPages = false;
    bool hasRead = false;

private:
    static auto settings() -> Init
    {
        auto init = directoryHostSettings();
        init.self.linkMbps = 100;
        return init;
    }

    DirectoryController controller;
};

} // namespace

TEST_CASE("a host stops a slow read of the whole directory if a neighbour has a wider link, and "
          "keeps the pages read",
          "[directory]")
{
    ReadingHost host;
    host.addNeighbour("wide", 200);
    CHECK(host.receives(slowRate, answerSize, 500ms));
    CHECK(host.keepsPages);
}

TEST_CASE("a host goes on with a slow read if it has the widest link of its zone", "[directory]")
{
    ReadingHost host;
    SECTION("and is alone") {}
    SECTION("and has a neighbour")
    {
        host.addNeighbour("narrow", 10);
    }
    CHECK_FALSE(host.receives(slowRate, answerSize, 2s));
}

TEST_CASE("a host goes on with a read that is as fast as its own link allows", "[directory]")
{
    ReadingHost host;
    host.addNeighbour("wide", 200);
    CHECK_FALSE(host.receives(fastRate, 100 * answerSize, 400ms));
}

TEST_CASE("a host reads a slow answer to its end if little of it is left", "[directory]")
{
    ReadingHost host;
    host.addNeighbour("wide", 200);
    CHECK_FALSE(host.receives(slowRate, slowRate / 2, 500ms));
}

TEST_CASE("a host that waits for the platform's first byte does not stop its read", "[directory]")
{
    ReadingHost host;
    host.addNeighbour("wide", 200);
    host.board.now.mono += 600ms;
    host.handle(Tick {});
    CHECK_FALSE(host.hasStopped);
}

TEST_CASE("a host that stopped its read reads again after a pause that grows, if nobody sends it "
          "the directory",
          "[directory]")
{
    ReadingHost host;
    host.addNeighbour("wide", 200);
    REQUIRE(host.receives(slowRate, answerSize, 500ms));
    const auto first = host.waitsBeforeReading();
    CHECK(first >= 1s);
    CHECK(first <= 2s + config::tickPeriod);
    REQUIRE(host.receives(slowRate, answerSize, 500ms));
    const auto second = host.waitsBeforeReading();
    CHECK(second >= 2s);
    CHECK(second <= 4s + config::tickPeriod);
}

TEST_CASE("a host that stopped its read requests the directory from the next host that has it",
          "[directory]")
{
    ReadingHost host;
    const auto wide = host.addNeighbour("wide", 200);
    REQUIRE(host.receives(slowRate, answerSize, 500ms));
    Gossip gossip;
    gossip.directory = { 12 };
    host.handle(PeerMessage { wide, Ping { 0, gossip } });
    const auto &actions = host.board.outbox;
    const auto isRequest = [wide](const Action &action) {
        const auto *sent = std::get_if<SendPeer>(&action);
        return sent != nullptr && sent->host == wide
               && std::holds_alternative<DirectoryRequest>(sent->message);
    };
    CHECK(std::any_of(actions.begin(), actions.end(), isRequest));
}
