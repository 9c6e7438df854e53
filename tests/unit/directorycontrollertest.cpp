/// When the directory is read, and what is believed of the answers.
#include "packetboard.h"

#include "core/directory/directorycontroller.h"
#include "core/membership/membermerge.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

/// A host that knows two upstreams at revision 10.
class ReadingHost
{
public:
    ReadingHost() : board(settings())
    {
        this->board.now.mono += 100s;
        this->board.membership.self = this->board.init.self.id;
        addMember(this->board, this->board.init.self);
        this->tick();
        DirectoryUpdate whole;
        whole.upTo = { 10 };
        whole.rows = bothRows(1);
        whole.present = { record(1, "live", "a", 2), record(2, "live", "a", 3) };
        this->take(whole);
    }

    auto tick() -> void { this->handle(Tick {}); }

    auto take(const DirectoryUpdate &update) -> void
    {
        this->asked.reset();
        this->handle(DirectoryRead { update, false });
    }

    /// Lets time pass in ticks until the host reads. @returns how long that took, or `most`.
    auto untilRead(Duration most) -> Duration
    {
        const auto begin = this->board.now.mono;
        this->asked.reset();
        while (!this->asked && this->board.now.mono - begin < most) {
            this->board.now.mono += config::tickPeriod;
            this->tick();
        }
        return this->board.now.mono - begin;
    }

    auto pass(Duration duration) -> void { this->board.now.mono += duration; }

    /// Removes upstream 2 at a revision. @returns its entry.
    auto removeSecond(std::uint64_t at) -> const UpstreamEntry &
    {
        DirectoryUpdate update;
        update.after = { 10 };
        update.upTo = { at };
        update.removed = { { InstanceId(2), { at } } };
        this->take(update);
        return *this->board.directory.byCookie(Cookie::of(InstanceId(2)));
    }

    Blackboard board;
    std::optional<ReadDirectory> asked; ///< The last read.

private:
    static auto settings() -> Init
    {
        Init init;
        init.self.name = "host";
        init.self.id = HostId::ofName("host");
        init.self.zoneName = "a";
        init.self.zone = ZoneId::ofName("a");
        init.readsDirectory = true;
        return init;
    }

    auto handle(const Event &event) -> void
    {
        this->board.outbox.clear();
        this->controller.handle(this->board, event);
        for (const auto &action : this->board.outbox) {
            if (const auto *read = std::get_if<ReadDirectory>(&action)) {
                this->asked = *read;
            }
        }
    }

    DirectoryController controller;
};

} // namespace

TEST_CASE("a removal is believed at once while the platform is heard", "[directory]")
{
    ReadingHost host;
    host.pass(config::directoryWatchWait);
    CHECK(host.removeSecond(11).presence == Presence::Removed);
}

TEST_CASE("a removal is not believed at once after a failed read", "[directory]")
{
    ReadingHost host;
    host.untilRead(1s);
    host.pass(config::directoryWatchWait + config::directoryReadMargin);
    host.untilRead(2s);
    REQUIRE(host.board.directoryReadsFail);
    CHECK(host.removeSecond(11).presence == Presence::Missing);
}

TEST_CASE(
        "a removal is not believed at once by a host whose own reads never failed, if nobody heard "
        "the platform for long",
        "[directory]")
{
    ReadingHost host;
    host.pass(config::directoryStale + 500ms);
    REQUIRE_FALSE(host.board.directoryReadsFail);
    CHECK(host.removeSecond(11).presence == Presence::Missing);
}

TEST_CASE("a lone change is followed by a watch at once, those of a rollout share one",
          "[directory]")
{
    ReadingHost host;
    host.untilRead(2s);
    host.pass(1s);
    host.removeSecond(11);
    CHECK(host.untilRead(2s) == config::tickPeriod);
    host.pass(100ms);
    host.removeSecond(12);
    CHECK(host.untilRead(2s) >= config::directoryGather);
}
