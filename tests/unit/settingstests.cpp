/// Parsing of the settings file and the errors it reports.
#include "wire/settings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace flamingograde;

namespace {

const std::string completeSettings = R"([host]
name = "auckland-1-a"
zone = "auckland-1"
[listen]
services = "127.0.0.1:0"
peer = "127.0.0.1:7001"
relay = "127.0.0.1:0"
admin = "127.0.0.1:7003"
[advertise]
relay = "10.1.0.1:7002"
[network]
source = "127.0.0.5"
[platform]
address = "10.0.0.10:8080"
heartbeat_ms = 2000
[[seed]]
name = "auckland-2-a"
zone = "auckland-2"
peer = "10.2.0.1:7001"
relay = "10.2.0.1:7002"
[limits]
stop_timeout_ms = 5000
exchanges_max = 10
cold_excess = 1.5
cold_slack = 0
[log]
level = "debug"
[policy]
placement = "two-choices"
seed = 9
)";

auto hasFinding(const Findings &findings, std::uint32_t line, const std::string &word) -> bool
{
    return std::any_of(findings.begin(), findings.end(), [&](const Finding &finding) {
        return finding.line == line && finding.message.find(word) != std::string::npos
               && !finding.hint.empty() && finding.column > 0 && finding.file == "host.toml";
    });
}

} // namespace

TEST_CASE("settings of every section are parsed", "[settings]")
{
    const auto settings = parseSettings(completeSettings, "host.toml");
    REQUIRE(settings);
    CHECK(settings->init.self.name == "auckland-1-a");
    CHECK(settings->init.self.id == HostId::ofName("auckland-1-a"));
    CHECK(settings->init.self.zone == ZoneId::ofName("auckland-1"));
    CHECK(settings->init.self.relay.toString() == "10.1.0.1:7002");
    CHECK_FALSE(settings->init.self.peer.isValid());
    CHECK_FALSE(settings->servicesFromTable);
    CHECK(settings->services.toString() == "127.0.0.1:0");
    CHECK(settings->peer.toString() == "127.0.0.1:7001");
    CHECK(settings->source.ipText() == "127.0.0.5");
    CHECK(settings->platform.toString() == "10.0.0.10:8080");
    CHECK(settings->init.upstreamHeartbeat == std::chrono::seconds(2));
    REQUIRE(settings->init.seeds.size() == 1);
    CHECK(settings->init.seeds[0].name == "auckland-2-a");
    CHECK(settings->init.stopTimeout == std::chrono::seconds(5));
    CHECK(settings->init.clockBound == Duration(config::clockBound));
    CHECK(settings->init.exchangesMax == 10);
    CHECK(settings->init.coldExcess == 1.5);
    CHECK(settings->init.coldSlack == 0);
    CHECK(settings->init.feedsMax == config::feedsMax);
    CHECK(settings->logLevel == LogLevel::Debug);
    CHECK(settings->init.policy == Policy::TwoChoices);
    CHECK(settings->init.seed == 9);
}

TEST_CASE("all sections but host and platform are optional", "[settings]")
{
    const auto settings = parseSettings("[host]\nname = \"a\"\nzone = \"z\"\n[platform]\n"
                                        "address = \"10.0.0.1:80\"\n",
                                        "host.toml");
    REQUIRE(settings);
    CHECK(settings->servicesFromTable);
    CHECK(settings->peer.toString() == "127.0.0.1:0");
    CHECK_FALSE(settings->source.isValid());
    CHECK(settings->init.policy == Policy::CellHome);
    CHECK(settings->init.upstreamHeartbeat == Duration(config::upstreamHeartbeat));
    CHECK(settings->init.seed == HostId::ofName("a").value());
}

TEST_CASE("link_mbps is rounded up and capped, and a value that is not above 0 is rejected",
          "[settings]")
{
    const auto read = [](const std::string &value) {
        return parseSettings("[host]\nname = \"a\"\nzone = \"z\"\nlink_mbps = " + value
                                     + "\n[platform]\naddress = \"10.0.0.1:80\"\n",
                             "host.toml");
    };
    CHECK(read("200.0")->init.self.linkMbps == 200);
    CHECK(read("10.5")->init.self.linkMbps == 11);
    CHECK(read("1e300")->init.self.linkMbps == 1000000);
    for (const auto *wrong : { "0", "-5", "nan", "inf", "\"wide\"" }) {
        const auto settings = read(wrong);
        REQUIRE_FALSE(settings);
        CHECK(hasFinding(settings.error(), 4, "link_mbps"));
    }
}

TEST_CASE("all errors of a file are reported, each with its line", "[settings]")
{
    const auto settings = parseSettings("[host]\n"
                                        "name = \"a b\"\n"
                                        "[listen]\n"
                                        "services = \"127.0.0.1:80\"\n"
                                        "peer = \"nowhere\"\n"
                                        "adnim = \"127.0.0.1:0\"\n"
                                        "[netwrk]\n"
                                        "[platform]\n"
                                        "address = \"10.0.0.1:0\"\n"
                                        "[log]\n"
                                        "level = \"loud\"\n"
                                        "[network]\n"
                                        "source = 5\n",
                                        "host.toml");
    REQUIRE_FALSE(settings);
    const auto &findings = settings.error();
    CHECK(hasFinding(findings, 1, "zone"));
    CHECK(hasFinding(findings, 2, "name"));
    CHECK(hasFinding(findings, 4, "services"));
    CHECK(hasFinding(findings, 5, "peer"));
    CHECK(hasFinding(findings, 6, "adnim"));
    CHECK(hasFinding(findings, 7, "netwrk"));
    CHECK(hasFinding(findings, 9, "address"));
    CHECK(hasFinding(findings, 11, "level"));
    CHECK(hasFinding(findings, 13, "source"));
}

TEST_CASE("an empty file is reported with an error for each required field", "[settings]")
{
    const auto settings = parseSettings("", "host.toml");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().size() == 3);
}

TEST_CASE("a value in place of a section is an error", "[settings]")
{
    const auto settings = parseSettings("host = 1\nseed = \"x\"\nplatform = [1]\n", "host.toml");
    REQUIRE_FALSE(settings);
    CHECK(hasFinding(settings.error(), 1, "host"));
    CHECK(hasFinding(settings.error(), 2, "seed"));
    CHECK(hasFinding(settings.error(), 3, "platform"));
}
