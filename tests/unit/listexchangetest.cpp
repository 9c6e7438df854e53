/// Tests for the exchange of whole member lists between hosts whose views differ.
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
class ListExchangeHost
{
public:
    ListExchangeHost()
    {
        this->board.init.self = sampleMember("host", "a");
        this->board.membership.self = this->board.init.self.id;
        this->board.now.mono += 100s;
        addMember(this->board, this->board.init.self);
        for (const auto &other : { sampleMember("near", "a"), sampleMember("far", "b") }) {
            auto &record = addMember(this->board, other);
            record.connected = true;
            record.viewsNotCompared = true;
        }
    }

    /// Handles a message from a host. @returns the number of members in the messages sent in reply.
    auto receive(const std::string &from, bool isSameView) -> std::size_t
    {
        Gossip gossip;
        gossip.members = this->board.membership.digest() + (isSameView ? 0 : 1);
        this->board.outbox.clear();
        this->lists.heard(this->board, HostId::ofName(from), gossip);
        std::size_t memberCount = 0;
        for (const auto &action : this->board.outbox) {
            const auto &sent = std::get<SendPeer>(action);
            memberCount += std::get<Ping>(sent.message).gossip.updates.size();
        }
        return memberCount;
    }

    auto advance(Duration duration) -> void { this->board.now.mono += duration; }

    auto markAsNew(const std::string &name) -> void
    {
        this->board.membership.record(HostId::ofName(name))->viewsNotCompared = true;
    }

    Blackboard board { Init {} };
    ListExchange lists;
};

} // namespace

TEST_CASE("newly connected hosts with equal views exchange no member lists", "[membership]")
{
    ListExchangeHost host;
    CHECK(host.receive("near", true) == 0);
    CHECK(host.receive("far", true) == 0);
    host.advance(10s);
    CHECK(host.receive("near", false) == 0); // The views were already compared after it connected.
}

TEST_CASE("a newly connected host with a different view is sent the whole list once",
          "[membership]")
{
    ListExchangeHost host;
    CHECK(host.receive("near", false) == 3);
    CHECK(host.receive("near", false) == 0);
    CHECK(host.receive("far", false) == 3);
}

TEST_CASE("the whole list is sent once whenever views have differed for viewDifferenceTimeout",
          "[membership]")
{
    ListExchangeHost host;
    host.receive("far", true);
    CHECK(host.receive("far", false) == 0);
    host.advance(config::viewDifferenceTimeout - 1ms);
    CHECK(host.receive("far", false) == 0);
    host.advance(1ms);
    CHECK(host.receive("far", false) == 3);
    CHECK(host.receive("far", false) == 0);
    host.advance(1s);
    host.receive("far", true);
    host.advance(config::viewDifferenceTimeout);
    CHECK(host.receive("far", false)
          == 0); // The views were equal in between, so the time starts again.
}

TEST_CASE("lists stay within the rate limit, but a new host of the zone is sent the zone's members",
          "[membership]")
{
    ListExchangeHost host;
    for (int i = 0; i < 400; ++i) {
        addMember(host.board, sampleMember("other-" + std::to_string(i), "c"));
    }
    std::size_t lists = 0;
    while (host.receive("near", false) > 2) {
        ++lists;
        host.markAsNew("near");
    }
    CHECK(lists >= 1);
    CHECK(lists * 400 * 60 <= config::listBytesBurst);
    host.markAsNew("near");
    CHECK(host.receive("near", false) == 2); // The two members of zone "a".
    CHECK(host.receive("far", false) == 0);
    host.advance(25s); // Time for 400 members of 72 bytes at 1,500 bytes per second.
    CHECK(host.receive("far", false) == 403);
}

TEST_CASE("the digest depends on live hosts and their incarnations, not on suspicion",
          "[membership]")
{
    ListExchangeHost host;
    ListExchangeHost other;
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
