/// Planned changes under load: host restarts, upstream changes, row and settings updates.
#include "fleettest.h"

#include <csignal>
#include <fstream>

using harness::Millis;

TEST_CASE("host restarts, upstream changes and a row update under load fail no request", "[fleet]")
{
    harness::Loop loop;
    harness::PacketFleet fleet(loop);
    fleet.start(2, 2, 2);
    fleet.beginLoad(40);
    loop.runFor(Millis(500));
    fleet.addUpstream("live-1-new", "live", 1);
    fleet.drainUpstream("live-1-1");
    fleet.stopHost("host-1-1", true);
    const auto revision = fleet.publishRows();
    CHECK(fleet.waitRevision(revision, Millis(3000)));
    fleet.stopHost("host-2-2", true);
    fleet.unregisterUpstream("live-1-1");
    const auto report = fleet.endLoad();
    INFO(fleet.logs());
    checkGuarantees(report);
    CHECK(report.at("failed") == 0);
    CHECK(report.at("refused") == 0);
    CHECK(report.at("latest_opening_ms") < 1000);
    CHECK(report.at("runs").at("live-1-new") > 0);
}

TEST_CASE("SIGHUP and a change of the settings file each make a host read its settings again",
          "[fleet]")
{
    harness::Loop loop;
    harness::PacketFleet fleet(loop);
    fleet.start(1, 2, 1);
    fleet.beginLoad(30);
    const auto logged = [&](const std::string &event) {
        std::ifstream log(fleet.logOf("host-1-1"));
        const std::string text((std::istreambuf_iterator<char>(log)),
                               std::istreambuf_iterator<char>());
        return text.find("name=" + event) != std::string::npos;
    };
    fleet.host("host-1-1").process().kill(SIGHUP);
    CHECK(loop.waitUntil([&] { return logged("SettingsRead"); }));
    // An invalid file is logged, and the host keeps running.
    std::ofstream(fleet.settingsOf("host-1-1"), std::ios::app) << "[lisen]\nx = 1\n";
    CHECK(loop.waitUntil([&] { return logged("SettingRefused"); }));
    fleet.host("host-1-1").process().kill(SIGPIPE);
    const auto report = fleet.endLoad();
    checkGuarantees(report, 10);
    CHECK(report.at("failed") == 0);
    CHECK_FALSE(fleet.host("host-1-1").process().exitStatus());
}

TEST_CASE("a zone evacuation that begins and ends under load fails no request, even if a host "
          "restarts",
          "[fleet]")
{
    harness::Loop loop;
    harness::PacketFleet fleet(loop);
    fleet.start(2, 2, 2);
    fleet.beginLoad(40);
    loop.runFor(Millis(500));
    const std::string key = "op/evacuate/zone-1";
    const auto put = fleet.store().call({ { "cmd", "put" }, { "key", key }, { "value", "{" } });
    CHECK(fleet.waitRevision(put.at("revision"), Millis(1000)));
    fleet.stopHost("host-1-1", true);
    const auto checkEvacuatedZones = [&fleet](double zones) {
        for (const auto &host : fleet.hostNames()) {
            CHECK(fleet.metric(host, "zones_evacuated") == zones);
        }
    };
    checkEvacuatedZones(1);
    const auto removal = fleet.store().call({ { "cmd", "remove" }, { "key", key } });
    CHECK(fleet.waitRevision(removal.at("revision"), Millis(1000)));
    checkEvacuatedZones(0);
    const auto report = fleet.endLoad();
    INFO(fleet.logs());
    checkGuarantees(report);
    CHECK(report.at("failed") == 0);
    CHECK(report.at("refused") == 0);
}
