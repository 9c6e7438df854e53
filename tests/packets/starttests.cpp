/// Limits on the cost of a host's start.
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

TEST_CASE("a host loads few shared libraries, because each delays its start", "[start]")
{
    // With log4cxx there were 20, and hosts with a twentieth of a core took 47 ms longer to carry
    // packets after a power failure. Header-only spdlog replaced it.
    constexpr std::size_t maxLibraries = 14;
    harness::Loop loop;
    harness::PacketFleet fleet(loop);
    fleet.start(1, 1, 1);
    const auto libraries = librariesOf(fleet.host("host-1-1").process().pid());
    for (const auto &library : libraries) {
        UNSCOPED_INFO(library);
    }
    CHECK(libraries.size() > 2);
    CHECK(libraries.size() <= maxLibraries);
}

TEST_CASE("a starting host reads rows and upstreams from the store with one call", "[start]")
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
