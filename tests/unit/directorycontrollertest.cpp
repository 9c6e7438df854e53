/// Tests of directory reads, of requests to other hosts and of when removals take effect.
#include "packetboard.h"

#include "core/directory/directorycontroller.h"
#include "core/directory/directoryepoch.h"
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

/// Returns a whole directory of two upstreams.
auto wholeAt(std::uint64_t revision) -> DirectoryUpdate
{
    DirectoryUpdate whole;
    whole.upTo = { revision };
    whole.rows = bothRows(1);
    whole.present = { record(1, "live", "a", 2), record(2, "live", "a", 3) };
    return whole;
}

/// A host whose directory has two upstreams at revision 10.
class DirectoryTestHost
{
public:
    /// @param firstReadDone whether the first read has completed; otherwise it is pending.
    explicit DirectoryTestHost(bool firstReadDone = true) : board(directoryHostSettings())
    {
        this->board.now.mono += 100s;
        this->board.membership.self = this->board.init.self.id;
        addMember(this->board, this->board.init.self);
        this->tick();
        if (!firstReadDone) {
            return;
        }
        this->completeRead(wholeAt(10));
    }

    auto tick() -> void { this->handle(Tick {}); }

    /// Completes the pending directory read with the result `update`.
    auto completeRead(const DirectoryUpdate &update) -> void
    {
        this->lastRead.reset();
        this->handle(DirectoryRead { update, false });
    }

    /// Makes the pending directory read fail because the platform does not answer.
    auto failRead() -> void
    {
        this->handle(DirectoryReadFailed { DirectoryFailure::Unreachable, "no answer" });
    }

    /// Makes the pending directory read fail because the platform lacks the changes asked for.
    auto forgetHistory() -> void
    {
        this->handle(DirectoryReadFailed { DirectoryFailure::Forgotten, "status 410" });
    }

    /// Returns the number of lines of `event` logged so far.
    [[nodiscard]] auto logCount(LogEvent event) const -> std::ptrdiff_t
    {
        return std::count_if(this->logs.begin(), this->logs.end(),
                             [event](const Log &log) { return log.event == event; });
    }

    /// Returns the directory update that the last event sent. Precondition: it sent one.
    [[nodiscard]] auto sentUpdate() const -> DirectoryUpdate
    {
        const auto found =
                std::find_if(this->sent.begin(), this->sent.end(), [](const SendPeer &it) {
                    return std::holds_alternative<DirectoryUpdate>(it.message);
                });
        return std::get<DirectoryUpdate>(found->message);
    }

    /// Returns the number of directory updates sent to a host by the last event.
    [[nodiscard]] auto updatesSentTo(HostId to) const -> std::ptrdiff_t
    {
        return std::count_if(this->sent.begin(), this->sent.end(), [to](const SendPeer &it) {
            return it.host == to && std::holds_alternative<DirectoryUpdate>(it.message);
        });
    }

    /// Advances time by ticks until the host starts a directory read. @returns the time that
    /// passed; `longest` if no read started before.
    auto tickUntilRead(Duration longest) -> Duration
    {
        const auto begin = this->board.now.mono;
        this->lastRead.reset();
        while (!this->lastRead && this->board.now.mono - begin < longest) {
            this->board.now.mono += config::tickPeriod;
            this->tick();
        }
        return this->board.now.mono - begin;
    }

    auto advanceTime(Duration duration) -> void { this->board.now.mono += duration; }

    /// Completes a read that removes upstream 2 at revision `at`. @returns its entry.
    auto removeUpstream2(std::uint64_t at) -> const UpstreamEntry &
    {
        DirectoryUpdate update;
        update.after = { 10 };
        update.upTo = { at };
        update.removed = { { InstanceId(2), { at } } };
        this->completeRead(update);
        return *this->board.directory.byCookie(Cookie::of(InstanceId(2)));
    }

    /// Adds a connected host. @returns its id.
    auto addConnectedHost(const std::string &name, const std::string &zone) -> HostId
    {
        Member other;
        other.name = name;
        other.zoneName = zone;
        auto &record = addMember(this->board, other);
        record.connected = true;
        return record.member.id;
    }

    /// Receives gossip from a host that has revision `has`. @returns whether this host sends it a
    /// directory request.
    auto requestsAfterRevision(HostId from, Revision has) -> bool
    {
        Gossip gossip;
        gossip.directory = has;
        return this->requestsAfterGossip(from, gossip);
    }

    /// Receives `gossip` from a host. @returns whether this host sends it a directory request.
    auto requestsAfterGossip(HostId from, const Gossip &gossip) -> bool
    {
        this->handle(PeerMessage { from, Ping { 0, gossip } });
        return std::any_of(this->sent.begin(), this->sent.end(), [&](const SendPeer &it) {
            return it.host == from && std::holds_alternative<DirectoryRequest>(it.message);
        });
    }

    /// Receives a directory update from another host.
    auto receiveUpdate(HostId from, const DirectoryUpdate &update) -> void
    {
        this->handle(PeerMessage { from, update });
    }

    /// Returns an update that removes upstream 2 at revision 11.
    static auto removalOfUpstream2() -> DirectoryUpdate
    {
        DirectoryUpdate update;
        update.after = { 10 };
        update.upTo = { 11 };
        update.removed = { { InstanceId(2), { 11 } } };
        return update;
    }

    /// Returns the entry of upstream 2.
    auto upstream2() -> const UpstreamEntry &
    {
        return *this->board.directory.byCookie(Cookie::of(InstanceId(2)));
    }

    Blackboard board;
    std::optional<ReadDirectory> lastRead; ///< The last read that the host started.
    std::vector<SendPeer> sent;            ///< Messages that the last event caused.
    std::vector<Log> logs;                 ///< All log lines so far.

private:
    auto handle(const Event &event) -> void
    {
        this->board.outbox.clear();
        this->sent.clear();
        this->controller.handle(this->board, event);
        for (const auto &action : this->board.outbox) {
            if (const auto *message = std::get_if<SendPeer>(&action)) {
                this->sent.push_back(*message);
            }
            if (const auto *multicast = std::get_if<SendPeers>(&action)) {
                for (const auto host : multicast->hosts) {
                    this->sent.push_back({ host, multicast->message });
                }
            }
            if (const auto *read = std::get_if<ReadDirectory>(&action)) {
                this->lastRead = *read;
            }
            if (const auto *log = std::get_if<Log>(&action)) {
                this->logs.push_back(*log);
            }
        }
    }

    DirectoryController controller;
};

} // namespace

TEST_CASE("a removal takes effect at once while the platform answers", "[directory]")
{
    DirectoryTestHost host;
    host.advanceTime(config::directoryWatchWait);
    CHECK(host.removeUpstream2(11).presence == Presence::Removed);
}

TEST_CASE("a removal is deferred after a failed read", "[directory]")
{
    DirectoryTestHost host;
    host.tickUntilRead(1s);
    host.advanceTime(config::directoryWatchWait + config::directoryReadMargin);
    host.tickUntilRead(2s);
    REQUIRE(host.board.directoryReadsFail);
    CHECK(host.removeUpstream2(11).presence == Presence::Missing);
}

TEST_CASE("a removal is deferred if no host heard the platform for directoryStale, even if this "
          "host's "
          "reads never failed",
          "[directory]")
{
    DirectoryTestHost host;
    host.advanceTime(config::directoryStale + 500ms);
    REQUIRE_FALSE(host.board.directoryReadsFail);
    CHECK(host.removeUpstream2(11).presence == Presence::Missing);
}

TEST_CASE("a starting host does not request the directory until its first read fails",
          "[directory]")
{
    DirectoryTestHost host(false);
    host.board.membership.startedAt = host.board.now.mono;
    REQUIRE(host.lastRead);
    const auto other = host.addConnectedHost("other", "a");
    CHECK_FALSE(host.requestsAfterRevision(other, { 12 }));
    host.failRead();
    CHECK(host.requestsAfterRevision(other, { 12 }));
}

TEST_CASE("a starting host whose first read is slow requests the directory only within its zone",
          "[directory]")
{
    DirectoryTestHost host(false);
    host.board.membership.startedAt = host.board.now.mono;
    const auto other = host.addConnectedHost("other", "a");
    const auto far = host.addConnectedHost("far", "b");
    host.advanceTime(config::directoryFirstReadWait - 1ms);
    CHECK_FALSE(host.requestsAfterRevision(other, { 12 }));
    host.advanceTime(1ms);
    CHECK_FALSE(host.requestsAfterRevision(far, { 12 }));
    CHECK(host.requestsAfterRevision(other, { 12 }));
}

TEST_CASE("a change is not sent to a host that has not reported a revision", "[directory]")
{
    DirectoryTestHost host;
    const auto other = host.addConnectedHost("other", "b");
    host.removeUpstream2(11);
    CHECK(host.updatesSentTo(other) == 0);
    host.requestsAfterRevision(other, { 11 });
    host.removeUpstream2(12);
    CHECK(host.updatesSentTo(other) == 1);
}

TEST_CASE("a read of the whole directory that is ignored as old is logged once and counted",
          "[directory]")
{
    DirectoryTestHost host;
    DirectoryUpdate older;
    older.upTo = { 8 };
    host.completeRead(older);
    host.completeRead(older);
    CHECK(host.board.stats.directoryReadsOld == 2);
    REQUIRE(host.logCount(LogEvent::DirectoryReadOld) == 1);
    CHECK(host.logs.back().text == "read=8 epoch=0 directory=10");
}

TEST_CASE("entries of another host's update that could not be decoded are logged once and counted",
          "[directory]")
{
    DirectoryTestHost host;
    const auto other = host.addConnectedHost("other", "a");
    auto update = DirectoryTestHost::removalOfUpstream2();
    update.unreadable = { "row: not an array" };
    host.receiveUpdate(other, update);
    host.receiveUpdate(other, update);
    CHECK(host.upstream2().presence == Presence::Removed);
    CHECK(host.board.stats.directoryFaults == 2);
    REQUIRE(host.logCount(LogEvent::DirectoryRefused) == 1);
}

TEST_CASE(
        "changes that a restored platform answers to a watch from before are read anew as a whole",
        "[directory][restore]")
{
    DirectoryTestHost host;
    auto passed = DirectoryTestHost::removalOfUpstream2();
    passed.upTo.epoch = 1;
    passed.removed.front().at.epoch = 1;
    host.completeRead(passed);
    CHECK(host.upstream2().presence == Presence::Listed);
    host.tickUntilRead(1s);
    REQUIRE(host.lastRead);
    CHECK_FALSE(host.lastRead->after.isValid());
    CHECK_FALSE(host.lastRead->mayBeStale);
}

TEST_CASE("changes from hosts that name no epoch are taken until the platform was restored",
          "[directory][restore]")
{
    DirectoryTestHost host;
    const auto older = host.addConnectedHost("older", "a");
    host.completeRead(inEpoch(wholeAt(12), 1));
    CHECK(host.requestsAfterRevision(older, { 13 }));
    DirectoryUpdate unnamed;
    unnamed.after = { 12 };
    unnamed.upTo = { 13 };
    unnamed.present = { record(3, "live", "a", 13) };
    host.receiveUpdate(older, unnamed);
    CHECK(host.board.directory.revision() == Revision { 13, 1 });
    CHECK(host.board.directory.listedCount() == 3);

    host.completeRead(inEpoch(wholeAt(9), 2));
    unnamed.after = Revision();
    unnamed.upTo = { 20 };
    host.receiveUpdate(older, unnamed);
    CHECK(host.board.directory.revision() == Revision { 9, 2 });
    CHECK_FALSE(host.requestsAfterRevision(older, { 20 }));
}

TEST_CASE("a host reads the platform although hosts of an earlier epoch hear from it",
          "[directory][restore]")
{
    DirectoryTestHost host;
    const auto earlier = host.addConnectedHost("earlier", "a");
    host.completeRead(inEpoch(wholeAt(12), 1));
    host.completeRead(inEpoch(wholeAt(9), 2));
    Gossip gossip;
    gossip.directory = { 12, 1 };
    host.advanceTime(config::directoryStale);
    host.requestsAfterGossip(earlier, gossip);
    CHECK(host.board.config.platformAge(host.board.now.mono) == config::directoryStale);
    gossip.directory = { 9, 2 };
    host.requestsAfterGossip(earlier, gossip);
    CHECK(host.board.config.platformAge(host.board.now.mono) == Duration(0));
}

TEST_CASE("a host that names no epoch is sent changes, not the whole directory",
          "[directory][restore]")
{
    DirectoryTestHost host;
    const auto older = host.addConnectedHost("older", "b");
    host.completeRead(inEpoch(wholeAt(12), 1));
    host.requestsAfterRevision(older, { 12 });
    DirectoryUpdate change;
    change.after = { 12 };
    change.upTo = { 13 };
    change.present = { record(3, "live", "a", 13) };
    host.completeRead(inEpoch(change, 1));
    REQUIRE(host.updatesSentTo(older) == 1);
    CHECK(host.sentUpdate().after.number == 12);
}

TEST_CASE("a host that is some changes behind in the same epoch is sent these, not the whole "
          "directory",
          "[directory][restore]")
{
    DirectoryTestHost host;
    const auto behind = host.addConnectedHost("behind", "b");
    host.completeRead(inEpoch(wholeAt(12), 1));
    DirectoryUpdate change;
    change.after = { 12 };
    change.upTo = { 13 };
    host.completeRead(inEpoch(change, 1));
    host.requestsAfterRevision(behind, { 12, 1 });
    change.after = { 13 };
    change.upTo = { 14 };
    host.completeRead(inEpoch(change, 1));
    REQUIRE(host.updatesSentTo(behind) == 1);
    CHECK(host.sentUpdate().after == Revision { 12, 1 });
}

TEST_CASE("changes of a later epoch that cannot be applied are no sign of a restore",
          "[directory][restore]")
{
    DirectoryTestHost host;
    host.completeRead(inEpoch(wholeAt(12), 1));
    DirectoryUpdate later;
    later.after = { 8 };
    later.upTo = { 9 };
    host.receiveUpdate(host.addConnectedHost("other", "a"), inEpoch(later, 2));
    CHECK(host.board.directory.revision() == Revision { 12, 1 });
    CHECK(host.logCount(LogEvent::PlatformRestored) == 0);
}

TEST_CASE("removals are deferred when the platform was restored from an older copy",
          "[directory][restore]")
{
    DirectoryTestHost host;
    host.completeRead(inEpoch(wholeAt(10), 1));
    host.advanceTime(1s);
    DirectoryUpdate copy;
    copy.upTo = { 8 };
    copy.present = { record(1, "live", "a", 2) };
    copy = inEpoch(copy, 2);
    SECTION("as read by this host")
    {
        host.completeRead(copy);
    }
    SECTION("as sent by another host")
    {
        host.receiveUpdate(host.addConnectedHost("other", "a"), copy);
    }
    CHECK(host.board.directory.revision() == copy.upTo);
    CHECK(host.upstream2().presence == Presence::Missing);
    CHECK(host.logCount(LogEvent::PlatformRestored) == 1);
}

TEST_CASE("a host that took a restored platform's directory tells hosts of earlier epochs at once",
          "[directory][restore]")
{
    DirectoryTestHost host;
    const auto other = host.addConnectedHost("other", "a");
    host.requestsAfterRevision(other, { 9 });
    DirectoryUpdate copy;
    copy.upTo = { 8, 1 };
    host.completeRead(copy);
    const auto isGossip = [other](const SendPeer &it) {
        const auto *ping = std::get_if<Ping>(&it.message);
        return it.host == other && ping != nullptr && ping->gossip.directory == Revision { 8, 1 };
    };
    CHECK(std::count_if(host.sent.begin(), host.sent.end(), isGossip) == 1);
    CHECK(host.updatesSentTo(other) == 0);
}

TEST_CASE("reads of a whole directory that is older than the one in force are spaced out",
          "[directory][restore]")
{
    DirectoryTestHost host;
    DirectoryUpdate older;
    older.upTo = { 8 };
    Duration passed { 0 };
    int reads = 0;
    while (passed < 10s) {
        passed += host.tickUntilRead(10s);
        ++reads;
        host.forgetHistory();
        passed += host.tickUntilRead(10s);
        REQUIRE(host.lastRead);
        REQUIRE_FALSE(host.lastRead->after.isValid());
        host.completeRead(older);
    }
    // As for a platform that does not answer: pauses grow to `config::directoryRetryMax`.
    CHECK(reads < 30);
    CHECK(passed / reads > config::directoryRetryMin);
}

TEST_CASE("a directory read that returns a change is followed at once by the next read, or after a "
          "pause if changes come in quick succession",
          "[directory]")
{
    DirectoryTestHost host;
    host.tickUntilRead(2s);
    host.advanceTime(1s);
    host.removeUpstream2(11);
    CHECK(host.tickUntilRead(2s) == config::tickPeriod);
    host.advanceTime(100ms);
    host.removeUpstream2(12);
    CHECK(host.tickUntilRead(2s) >= config::rolloutReadPause);
}

TEST_CASE(
        "a host of a small fleet requests changes as soon as another host reports a newer revision",
        "[directory]")
{
    DirectoryTestHost host;
    const auto far = host.addConnectedHost("far", "b");
    CHECK(host.requestsAfterRevision(far, { 11 }));
    host.advanceTime(config::directoryPeerTimeout - 1ms);
    CHECK_FALSE(host.requestsAfterRevision(far, { 11 }));
    host.advanceTime(1ms);
    CHECK(host.requestsAfterRevision(far, { 11 }));
}

TEST_CASE("a host of a large fleet requests changes that were not pushed to it in time",
          "[directory]")
{
    DirectoryTestHost host;
    const auto near = host.addConnectedHost("near", "a");
    const auto far = host.addConnectedHost("far", "b");
    for (std::size_t i = 0; i < config::flatMembershipHosts; ++i) {
        host.addConnectedHost("other-" + std::to_string(i), "c");
    }
    CHECK_FALSE(host.requestsAfterRevision(near, { 11 }));
    host.advanceTime(config::directoryAskZone - 1ms);
    CHECK_FALSE(host.requestsAfterRevision(near, { 11 }));
    CHECK_FALSE(host.requestsAfterRevision(far, { 11 }));
    host.advanceTime(1ms);
    CHECK_FALSE(host.requestsAfterRevision(far, { 11 }));
    CHECK(host.requestsAfterRevision(near, { 11 }));

    host.removeUpstream2(12); // The wait for a push restarts when changes are received.
    host.advanceTime(config::directoryAskFar);
    CHECK_FALSE(host.requestsAfterRevision(far, { 13 }));
    host.advanceTime(config::directoryAskFar - 1ms);
    CHECK_FALSE(host.requestsAfterRevision(far, { 13 }));
    host.advanceTime(1ms);
    CHECK(host.requestsAfterRevision(far, { 13 }));
}

TEST_CASE("a host of a large fleet that has no directory requests it as soon as another host "
          "reports a revision",
          "[directory]")
{
    DirectoryTestHost host;
    for (std::size_t i = 0; i < config::flatMembershipHosts; ++i) {
        host.addConnectedHost("other-" + std::to_string(i), "c");
    }
    host.board.directory = Directory(host.board.init.self.zone);
    CHECK(host.requestsAfterRevision(host.addConnectedHost("far", "b"), { 11 }));
}

TEST_CASE("after a partition, a removal received from another host is deferred", "[directory]")
{
    DirectoryTestHost host;
    const auto far = host.addConnectedHost("far", "b");
    host.advanceTime(config::directoryStale + 1ms);
    SECTION("if the first message is the update") {}
    SECTION("if the first message is gossip")
    {
        host.requestsAfterRevision(far, { 11 });
    }
    host.receiveUpdate(far, DirectoryTestHost::removalOfUpstream2());
    CHECK(host.upstream2().presence == Presence::Missing);
    CHECK(host.board.directory.poolOf(ServiceId::ofName("live")).near.size() == 2);
    host.advanceTime(config::reappearTime);
    host.tick();
    CHECK(host.upstream2().presence == Presence::Removed);
}

TEST_CASE("a removal received from another host takes effect at once if there was no partition",
          "[directory]")
{
    DirectoryTestHost host;
    const auto far = host.addConnectedHost("far", "b");
    host.advanceTime(1s);
    host.receiveUpdate(far, DirectoryTestHost::removalOfUpstream2());
    CHECK(host.upstream2().presence == Presence::Removed);
}

TEST_CASE("the host with the widest link of its zone reads the directory, unless its reads fail",
          "[directory]")
{
    // With this many hosts, some rank before this one by rendezvous hash.
    DirectoryTestHost host;
    constexpr int others = 8;
    std::vector<HostId> hosts;
    for (int i = 0; i < others; ++i) {
        hosts.push_back(host.addConnectedHost("near-" + std::to_string(i), "a"));
    }
    const auto reportState = [&](HostId id, std::uint32_t mbps, bool readsFail) {
        host.board.membership.record(id)->member.linkMbps = mbps;
        Gossip gossip;
        gossip.readsFail = readsFail;
        host.requestsAfterGossip(id, gossip);
    };
    const auto setOwnLink = [&](std::uint32_t mbps) {
        host.board.membership.record(host.board.membership.self)->member.linkMbps = mbps;
    };
    setOwnLink(200);
    for (const auto id : hosts) {
        reportState(id, 10, false);
    }
    CHECK(isDirectoryReader(host.board));
    reportState(hosts[3], 1000, false);
    CHECK_FALSE(isDirectoryReader(host.board));
    reportState(hosts[3], 1000, true);
    CHECK(isDirectoryReader(host.board));
    setOwnLink(5);
    CHECK_FALSE(isDirectoryReader(host.board));
}
