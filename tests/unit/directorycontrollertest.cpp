/// When the directory is read, and what is believed of the answers.
#include "packetboard.h"

#include "core/directory/directorycontroller.h"
#include "core/directory/readerelection.h"
#include "core/membership/membermerge.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace flamingograde;
using namespace std::chrono_literals;

namespace {

/// A host that knows two upstreams at revision 10.
class ReadingHost
{
public:
    /// @param firstReadDone whether the first read has completed; otherwise it is under way.
    explicit ReadingHost(bool firstReadDone = true) : board(settings())
    {
        this->board.now.mono += 100s;
        this->board.membership.self = this->board.init.self.id;
        addMember(this->board, this->board.init.self);
        this->tick();
        if (!firstReadDone) {
            return;
        }
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

    /// Fails the read that is under way.
    auto failRead() -> void
    {
        this->handle(DirectoryReadFailed { DirectoryFailure::Unreachable, "no answer" });
    }

    /// Returns the number of directory updates sent to a host by the last event.
    [[nodiscard]] auto updatesSentTo(HostId to) const -> std::ptrdiff_t
    {
        return std::count_if(this->sent.begin(), this->sent.end(), [to](const SendPeer &it) {
            return it.host == to && std::holds_alternative<DirectoryUpdate>(it.message);
        });
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

    /// Adds a connected host. @returns its id.
    auto meet(const std::string &name, const std::string &zone) -> HostId
    {
        Member other;
        other.name = name;
        other.zoneName = zone;
        auto &record = addMember(this->board, other);
        record.connected = true;
        return record.member.id;
    }

    /// Takes a message of a host that has a revision. @returns whether that host is asked for it.
    auto isAskedAfter(HostId from, Revision has) -> bool
    {
        Gossip gossip;
        gossip.directory = has;
        return this->isAskedAfterGossip(from, gossip);
    }

    /// The same, after any word of that host.
    auto isAskedAfterGossip(HostId from, const Gossip &gossip) -> bool
    {
        this->handle(PeerMessage { from, Ping { 0, gossip } });
        return std::any_of(this->sent.begin(), this->sent.end(), [&](const SendPeer &it) {
            return it.host == from && std::holds_alternative<DirectoryRequest>(it.message);
        });
    }

    /// Takes an update of another host.
    auto hear(HostId from, const DirectoryUpdate &update) -> void
    {
        this->handle(PeerMessage { from, update });
    }

    /// Returns the removal of upstream 2 at revision 11.
    static auto removalOfSecond() -> DirectoryUpdate
    {
        DirectoryUpdate update;
        update.after = { 10 };
        update.upTo = { 11 };
        update.removed = { { InstanceId(2), { 11 } } };
        return update;
    }

    /// Returns upstream 2.
    auto second() -> const UpstreamEntry &
    {
        return *this->board.directory.byCookie(Cookie::of(InstanceId(2)));
    }

    Blackboard board;
    std::optional<ReadDirectory> asked; ///< The last read.
    std::vector<SendPeer> sent;         ///< Messages of the last event.

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
        this->sent.clear();
        this->controller.handle(this->board, event);
        for (const auto &action : this->board.outbox) {
            if (const auto *message = std::get_if<SendPeer>(&action)) {
                this->sent.push_back(*message);
            }
            if (const auto *several = std::get_if<SendPeers>(&action)) {
                for (const auto host : several->hosts) {
                    this->sent.push_back({ host, several->message });
                }
            }
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

TEST_CASE("a starting host does not ask for the directory until its first read fails",
          "[directory]")
{
    ReadingHost host(false);
    host.board.membership.startedAt = host.board.now.mono;
    REQUIRE(host.asked);
    const auto other = host.meet("other", "a");
    CHECK_FALSE(host.isAskedAfter(other, { 12 }));
    host.failRead();
    CHECK(host.isAskedAfter(other, { 12 }));
}

TEST_CASE("a starting host whose first read is slow asks only its own zone for the directory",
          "[directory]")
{
    ReadingHost host(false);
    host.board.membership.startedAt = host.board.now.mono;
    const auto other = host.meet("other", "a");
    const auto far = host.meet("far", "b");
    host.pass(config::directoryFirstReadWait - 1ms);
    CHECK_FALSE(host.isAskedAfter(other, { 12 }));
    host.pass(1ms);
    CHECK_FALSE(host.isAskedAfter(far, { 12 }));
    CHECK(host.isAskedAfter(other, { 12 }));
}

TEST_CASE("a change is not sent to a host that has not reported a revision", "[directory]")
{
    ReadingHost host;
    const auto other = host.meet("other", "b");
    host.removeSecond(11);
    CHECK(host.updatesSentTo(other) == 0);
    host.isAskedAfter(other, { 11 });
    host.removeSecond(12);
    CHECK(host.updatesSentTo(other) == 1);
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

TEST_CASE("a host of a small fleet asks for newer changes at once", "[directory]")
{
    ReadingHost host;
    const auto far = host.meet("far", "b");
    CHECK(host.isAskedAfter(far, { 11 }));
    host.pass(config::directoryPeerTimeout - 1ms);
    CHECK_FALSE(host.isAskedAfter(far, { 11 }));
    host.pass(1ms);
    CHECK(host.isAskedAfter(far, { 11 }));
}

TEST_CASE("a host of a large fleet asks for changes that its zone's reader did not send in time",
          "[directory]")
{
    ReadingHost host;
    const auto near = host.meet("near", "a");
    const auto far = host.meet("far", "b");
    for (std::size_t i = 0; i < config::flatMembershipHosts; ++i) {
        host.meet("other-" + std::to_string(i), "c");
    }
    CHECK_FALSE(host.isAskedAfter(near, { 11 }));
    host.pass(config::directoryAskZone - 1ms);
    CHECK_FALSE(host.isAskedAfter(near, { 11 }));
    CHECK_FALSE(host.isAskedAfter(far, { 11 }));
    host.pass(1ms);
    CHECK_FALSE(host.isAskedAfter(far, { 11 }));
    CHECK(host.isAskedAfter(near, { 11 }));

    host.removeSecond(12); // What was pushed ends the wait.
    host.pass(config::directoryAskFar);
    CHECK_FALSE(host.isAskedAfter(far, { 13 }));
    host.pass(config::directoryAskFar - 1ms);
    CHECK_FALSE(host.isAskedAfter(far, { 13 }));
    host.pass(1ms);
    CHECK(host.isAskedAfter(far, { 13 }));
}

TEST_CASE("a host of a large fleet that has nothing asks at once", "[directory]")
{
    ReadingHost host;
    for (std::size_t i = 0; i < config::flatMembershipHosts; ++i) {
        host.meet("other-" + std::to_string(i), "c");
    }
    host.board.directory = Directory(host.board.init.self.zone);
    CHECK(host.isAskedAfter(host.meet("far", "b"), { 11 }));
}

TEST_CASE("a host that was cut off does not believe removals of the first host it hears again",
          "[directory]")
{
    ReadingHost host;
    const auto far = host.meet("far", "b");
    host.pass(config::directoryStale + 1ms);
    SECTION("by its list of changes") {}
    SECTION("after its word on the platform")
    {
        host.isAskedAfter(far, { 11 });
    }
    host.hear(far, ReadingHost::removalOfSecond());
    CHECK(host.second().presence == Presence::Missing);
    CHECK(host.board.directory.poolOf(ServiceId::ofName("live")).near.size() == 2);
    host.pass(config::reappearTime);
    host.tick();
    CHECK(host.second().presence == Presence::Removed);
}

TEST_CASE("a host in touch believes another one's word of a removal at once", "[directory]")
{
    ReadingHost host;
    const auto far = host.meet("far", "b");
    host.pass(1s);
    host.hear(far, ReadingHost::removalOfSecond());
    CHECK(host.second().presence == Presence::Removed);
}

TEST_CASE("of a zone's hosts one with the widest link reads, unless its reads fail", "[directory]")
{
    // Enough hosts that some have a better draw than this one, whoever it is.
    ReadingHost host;
    constexpr int others = 8;
    std::vector<HostId> hosts;
    for (int i = 0; i < others; ++i) {
        hosts.push_back(host.meet("near-" + std::to_string(i), "a"));
    }
    const auto tell = [&](HostId id, std::uint32_t mbps, bool readsFail) {
        host.board.membership.record(id)->member.linkMbps = mbps;
        Gossip gossip;
        gossip.readsFail = readsFail;
        host.isAskedAfterGossip(id, gossip);
    };
    const auto setOwnLink = [&](std::uint32_t mbps) {
        host.board.membership.record(host.board.membership.self)->member.linkMbps = mbps;
    };
    setOwnLink(200);
    for (const auto id : hosts) {
        tell(id, 10, false);
    }
    CHECK(isDirectoryReader(host.board));
    tell(hosts[3], 1000, false);
    CHECK_FALSE(isDirectoryReader(host.board));
    tell(hosts[3], 1000, true);
    CHECK(isDirectoryReader(host.board));
    setOwnLink(5);
    CHECK_FALSE(isDirectoryReader(host.board));
}
