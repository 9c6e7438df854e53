/// Tests for parsing the platform's host list.
#include "wire/hostlist.h"

#include <catch2/catch.hpp>

using namespace flamingograde;

TEST_CASE("a valid host list is parsed into members", "[hostlist]")
{
    const auto hosts = parseHostList(
            R"({"hosts": [{"name": "h1", "zone": "z1", "peer": "10.0.0.1:1", "relay": "10.0.0.1:2",
                "state": "live"}, {"name": "h2", "zone": "z2", "peer": "10.0.0.2:1",
                "relay": "10.0.0.2:2", "state": "leaving"}]})");
    REQUIRE(hosts);
    REQUIRE(hosts->size() == 2);
    CHECK((*hosts)[0].id == HostId::ofName("h1"));
    CHECK((*hosts)[0].peer.toString() == "10.0.0.1:1");
    CHECK((*hosts)[0].state == MemberState::Alive);
    CHECK((*hosts)[1].zone == ZoneId::ofName("z2"));
    CHECK((*hosts)[1].state == MemberState::Leaving);
}

TEST_CASE("a malformed host list is rejected, an empty one is accepted", "[hostlist]")
{
    CHECK_FALSE(parseHostList(""));
    CHECK_FALSE(parseHostList("[]"));
    CHECK_FALSE(parseHostList(R"({"hosts": 1})"));
    CHECK_FALSE(parseHostList(R"({"hosts": [1]})"));
    CHECK_FALSE(parseHostList(R"({"hosts": [{"name": "h1"}]})"));
    CHECK_FALSE(parseHostList(
            R"({"hosts": [{"name": "h1", "zone": "z1", "peer": "x", "relay": "10.0.0.1:2",
                "state": "live"}]})"));
    CHECK_FALSE(parseHostList(
            R"({"hosts": [{"name": "h1", "zone": "z1", "peer": "10.0.0.1:1",
                "relay": "10.0.0.1:2", "state": "gone"}]})"));
    CHECK(parseHostList(R"({"hosts": []})"));
}
