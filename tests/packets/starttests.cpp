/// What a host's start costs.
#include "fleettest.h"

#include <fstream>
#include <set>
#include <string>

namespace {

/// Returns the shared libraries that a process has loaded.
auto librariesOf(pid_t process) -> std::set<std::string>
{
    std::ifstream maps("/proc/" + std::to_string(process) + "/maps");
    std::set<std::string> libraries;
    for (std::string line; std::getline(maps, line);) {
        const auto path = line.find('/');
        if (path != std::string::npos && line.find(".so") != std::string::npos) {
            libraries.insert(line.substr(path));
        }
    }
    return libraries;
}

} // namespace

TEST_CASE("a host loads few shared libraries, each of which delays its start", "[start]")
{
    // 20 before spdlog by its headers took log4cxx's place: with a twentieth of a core, hosts
    // carried packets 47 ms later after a cut of power.
    constexpr std::size_t most = 14;
    harness::Loop loop;
    harness::PacketFleet fleet(loop);
    fleet.start(1, 1, 1);
    const auto libraries = librariesOf(fleet.host("host-1-1").process().pid());
    for (const auto &library : libraries) {
        UNSCOPED_INFO(library);
    }
    CHECK(libraries.size() > 2);
    CHECK(libraries.size() <= most);
}

TEST_CASE("a start reads rows and upstreams with one call", "[start]")
{
    harness::Loop loop;
    harness::PacketFleet fleet(loop);
    fleet.start(1, 1, 1);
    const auto calls = fleet.store().call({ { "cmd", "counts" } }).at("calls");
    CHECK(calls.value("/-/kv-range", 0) == 1);
    CHECK(calls.value("/-/kv-key", 0) == 0);
    CHECK(fleet.metric("host-1-1", "rows_version") == 3);
    CHECK(fleet.metric("host-1-1", "upstreams") > 0);
}
