/// Runs a deployment of the packet path as separate processes on the loopback interface.
#pragma once

#include "harness/hostprocess.h"
#include "harness/loop.h"
#include "harness/standin.h"
#include "harness/tempfolder.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace harness {

/// Owns the processes of the store, of the entry hosts, and of the stand-in for fabric, callers and
/// upstreams. The destructor kills them all.
///
/// IP addresses: hosts 127.1.Z.N, upstreams 127.2.Z.N, store 127.3.0.1, callers 127.100.0.1 and up,
/// where Z is the number of the zone. All ports are ephemeral. The settings of the hosts are
/// rendered from the product's own template.
/// @remarks Not thread safe. Methods throw `std::runtime_error` if a process does not start, answer
/// or stop within its time limit.
class PacketFleet
{
public:
    /// Starts the stand-ins and publishes three rows: `feed`, `resolutions` and `papers`.
    explicit PacketFleet(Loop &eventLoop);
    PacketFleet(const PacketFleet &) = delete;
    auto operator=(const PacketFleet &) -> PacketFleet & = delete;

    /// Starts `zones` zones. Each has `hosts` hosts, `upstreams` upstreams of the service `live`
    /// and one upstream of the service `papers`.
    auto start(std::size_t zones, std::size_t hosts, std::size_t upstreams) -> void;
    /// Starts a new host. @param wait whether to wait until it is in rotation.
    auto addHost(const std::string &name, std::size_t zone, bool wait) -> void;
    /// Starts a new upstream and registers it in the store.
    auto addUpstream(const std::string &name, const std::string &service, std::size_t zone) -> void;
    /// Overwrites an upstream's record in the store, with `changes` merged into it.
    auto registerUpstream(const std::string &name, const nlohmann::json &changes) -> void;
    /// Sets an upstream to draining, in the store and in its stand-in.
    auto drainUpstream(const std::string &name) -> void;
    /// Removes the record of an upstream from the store.
    auto unregisterUpstream(const std::string &name) -> void;
    /// Publishes the rows under a new version. @returns the store's revision of the published
    /// rows.
    auto publishRows() -> std::uint64_t;

    /// Starts requests of all kinds, `perSecond` in each zone.
    auto beginLoad(double perSecond) -> void;
    /// Stops the load, then gives pending requests a fixed time to complete.
    /// @returns the combined report of callers and upstreams.
    auto endLoad() -> nlohmann::json;

    /// Stops a host with SIGTERM and waits for its exit. Starts it again if `restart`.
    auto stopHost(const std::string &name, bool restart) -> void;
    /// Kills a host with SIGKILL. Starts it again if `restart`.
    auto killHost(const std::string &name, bool restart) -> void;
    /// Returns a metric of a host, summed over all labels; 0 if the host does not export it.
    [[nodiscard]] auto metric(const std::string &host, const std::string &name) -> double;
    /// Waits until every host is at `revision` of the store or a later one.
    /// @returns whether that was so within `limit`.
    auto waitRevision(std::uint64_t revision, Millis limit) -> bool;
    /// Waits until the fabric has a host in rotation. Throws after a time limit.
    auto waitInRotation(const std::string &name) -> void;

    [[nodiscard]] auto host(const std::string &name) -> HostProcess &
    {
        return *this->hosts.at(name).process;
    }
    [[nodiscard]] auto hostNames() const -> std::vector<std::string>;
    [[nodiscard]] auto store() -> Standin & { return this->storeProcess; }
    [[nodiscard]] auto packets() -> Standin & { return this->packetsProcess; }
    [[nodiscard]] auto eventLoop() -> Loop & { return this->loop; }
    /// Returns the last lines of all hosts' logs, for failure reports.
    [[nodiscard]] auto logs() const -> std::string;
    /// Returns the IP address of a host.
    [[nodiscard]] auto ipOf(const std::string &name) const -> std::string
    {
        return this->hosts.at(name).ip;
    }
    [[nodiscard]] auto settingsOf(const std::string &name) const -> std::filesystem::path;
    [[nodiscard]] auto logOf(const std::string &name) const -> std::filesystem::path;

private:
    struct HostRecord
    {
        std::string ip;
        std::size_t zone = 0;
        std::unique_ptr<HostProcess> process;
    };

    auto startHost(const std::string &name, bool wait) -> void;
    auto writeSettings(const std::string &name) -> void;
    auto registerHost(const std::string &name) -> void;

    Loop &loop;
    TempFolder tempFolder;
    Standin storeProcess;
    Standin packetsProcess;
    std::map<std::string, HostRecord> hosts;
    std::map<std::string, nlohmann::json> upstreams;        ///< Records in the store, by name.
    std::map<std::size_t, std::size_t> lastHostNumbers;     ///< Last host number, by zone.
    std::map<std::size_t, std::size_t> lastUpstreamNumbers; ///< Last upstream number, by zone.
    std::uint64_t version = 0;
    std::size_t zoneCount = 0;
};

} // namespace harness
