/// When hosts tell each other all that they know of the fleet.
#include "core/membership/listexchange.h"
#include "core/blackboard.h"
#include "core/membership/membermerge.h"
#include "samplemember.h"

#include <flamingograde/config.h>

#include <catch2/catch.hpp>

#include <string>
#include <variant>

namespace flamingograde {

namespace {

using namespace std::chrono_literals;

/// A host in zone "a" that is connected with one host in "a" and one in "b".
class MeetingHost
{
public:
    MeetingHost()
    {
        this->board.init.self = sampleMember("host", "a");
        this->board.membership.self = this->board.init.self.id;
        this->board.now.mono += 100s;
        addMember(this->board, this->board.init.self);
        for (const auto &other : { sampleMember("near", "a"), sampleMember("far", "b") }) {
            auto &record = addMember(this->board, other);
            record.connected = true;
            record.isNew = true;
        }
    }

    /// Takes a message of a host. @returns the number of members that it is told in answer.
    auto hear(const std::string &from, bool isSameView) -> std::size_t
    {
        Gossip gossip;
        gossip.members = this->board.membership.digest() + (isSameView ? 0 : 1);
        this->board.outbox.clear();
        this->lists.heard(this->board, HostId::ofName(from), gossip);
        std::size_t told = 0;
        for (const auto &action : this->board.outbox) {
            const auto &sent = std::get<SendPeer>(action);
            told += std::get<Ping>(sent.message).gossip.updates.size();
        }
        return told;
    }

    auto pass(Duration duration) -> void { this->board.now.mono += duration; }

    auto meet(const std::string &name) -> void
    {
        this->board.membership.record(HostId::ofName(name))->isNew = true;
    }

    Blackboard board { Init {} };
    ListExchange lists;
};

} // namespace

TEST_CASE("hosts that meet with equal views tell each other nothing", "[membership]")
{
    MeetingHost host;
    CHECK(host.hear("near", true) == 0);
    CHECK(host.hear("far", true) == 0);
    host.pass(10s);
    CHECK(host.hear("near", false) == 0); // It is not new any more.
}

TEST_CASE("hosts that meet with different views tell each other all, once", "[membership]")
{
    MeetingHost host;
    CHECK(host.hear("near", false) == 3);
    CHECK(host.hear("near", false) == 0);
    CHECK(host.hear("far", false) == 3);
}

TEST_CASE("views that stay apart are told once each time gossip had its chance", "[membership]")
{
    MeetingHost host;
    host.hear("far", true);
    CHECK(host.hear("far", false) == 0);
    host.pass(config::viewsDiffer - 1ms);
    CHECK(host.hear("far", false) == 0);
    host.pass(1ms);
    CHECK(host.hear("far", false) == 3);
    CHECK(host.hear("far", false) == 0);
    host.pass(1s);
    host.hear("far", true);
    host.pass(config::viewsDiffer);
    CHECK(host.hear("far", false) == 0); // They agreed meanwhile.
}

TEST_CASE("lists keep to their allowance, but a new host of the zone hears of the zone",
          "[membership]")
{
    MeetingHost host;
    for (int i = 0; i < 400; ++i) {
        addMember(host.board, sampleMember("other-" + std::to_string(i), "c"));
    }
    std::size_t lists = 0;
    while (host.hear("near", false) > 2) {
        ++lists;
        host.meet("near");
    }
    CHECK(lists >= 1);
    CHECK(lists * 400 * 60 <= config::listBytesAtOnce);
    host.meet("near");
    CHECK(host.hear("near", false) == 2); // The two of zone "a".
    CHECK(host.hear("far", false) == 0);
    host.pass(25s); // 400 members of 72 bytes at 1,500 a second.
    CHECK(host.hear("far", false) == 403);
}

TEST_CASE("the digest of a view knows its hosts and their lives, not their order", "[membership]")
{
    MeetingHost host;
    MeetingHost other;
    CHECK(host.board.membership.digest() == other.board.membership.digest());
    addMember(host.board, sampleMember("third", "a"));
    CHECK(host.board.membership.digest() != other.board.membership.digest());
    addMember(other.board, sampleMember("third", "a"));
    CHECK(host.board.membership.digest() == other.board.membership.digest());
    raiseIncarnation(host.board, 0);
    CHECK(host.board.membership.digest() != other.board.membership.digest());
    auto *third = other.board.membership.record(HostId::ofName("third"));
    const auto before = other.board.membership.digest();
    changeMember(other.board, *third, MemberState::Suspect);
    CHECK(other.board.membership.digest() == before);
    changeMember(other.board, *third, MemberState::Dead);
    CHECK(other.board.membership.digest() != before);
}

} // namespace flamingograde
