/// Tests of the directory dump and of the explanation of packet decisions.
#include "packetboard.h"

#include "core/dump.h"
#include "core/explain.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace flamingograde {

namespace {

using nlohmann::json;

auto explain(const PacketBoard &host, Address address, const std::string &cookie = {}) -> json
{
    return json::parse(explainOf(host.board, address, cookie, {}));
}

auto cookieText(std::uint64_t instance) -> std::string
{
    return std::to_string(Cookie::of(InstanceId(instance)).value);
}

} // namespace

TEST_CASE("a dump lists packet rows and upstreams with their load", "[dump]")
{
    PacketBoard host;
    host.open(7, papersAddress);
    const auto directory = json::parse(dumpOf(host.board)).at("directory");
    CHECK(directory.at("revision") == 10);
    CHECK(directory.at("rows").size() == 2);
    REQUIRE(directory.at("upstreams").size() == 5);
    const auto &papers = directory.at("upstreams").back();
    CHECK(papers.at("service") == "papers");
    CHECK(papers.at("busy_here") == 1);
    CHECK(papers.at("heard_ms_ago").is_null());
    CHECK(papers.at("presence") == "listed");
}

TEST_CASE("a dump lists evacuated zones, and an explanation says why their upstreams are closed",
          "[dump]")
{
    PacketBoard host;
    host.evacuate("a", 11);
    const auto directory = json::parse(dumpOf(host.board)).at("directory");
    REQUIRE(directory.at("evacuations").size() == 1);
    CHECK(directory.at("evacuations")[0].at("zone") == "a");
    CHECK(directory.at("evacuations")[0].at("in_force") == true);
    CHECK(directory.at("evacuations")[0].at("changed") == 11);
    const auto answer = explain(host, feedAddress);
    CHECK(answer.at("placement").at("candidates")[0].at("closed") == "its zone is evacuated");
    CHECK(statsOf(host.board).zonesEvacuated == 1);
}

TEST_CASE("the explanation of a new flow lists all upstreams of its services", "[dump]")
{
    PacketBoard host;
    host.entry(3).evidence.silentSince = host.board.now.mono;
    const auto answer = explain(host, feedAddress);
    CHECK(answer.at("row") == "feed");
    const auto &candidates = answer.at("placement").at("candidates");
    REQUIRE(candidates.size() == 4);
    CHECK(candidates[0].at("closed") == "");
    CHECK(candidates[2].at("closed") == "silent: on trial only");
    CHECK(candidates[3].at("near") == false);
    CHECK(explain(host, { 1, 2 }).at("refused") == "unknown-service");
}

TEST_CASE("the explanation of an open flow gives the verdict that its packets get", "[dump]")
{
    PacketBoard host;
    const auto verdict = [&host](Address address, const std::string &cookie) {
        return explain(host, address, cookie).at("placement").at("verdict").get<std::string>();
    };
    CHECK(verdict(feedAddress, cookieText(1)) == "forward");
    CHECK(verdict(feedAddress, cookieText(5)) == "drop");
    CHECK(verdict(feedAddress, "12345") == "drop");
    CHECK(verdict(feedAddress, "99999999999") == "drop");
    CHECK(verdict(feedAddress, "1x") == "drop");
    DirectoryUpdate update;
    update.after = { 10 };
    update.upTo = { 11 };
    update.removed = { { InstanceId(1), { 11 } } };
    host.take(update);
    CHECK(verdict(feedAddress, cookieText(1)) == "reset");
}

} // namespace flamingograde
