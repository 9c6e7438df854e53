/// A deployment of the packet path as real processes on loopback.
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

/// Store, fabric, callers, upstreams and entry hosts. Its destructor ends them all.
///
/// IP numbers: hosts 127.1.Z.N, upstreams 127.2.Z.N, store 127.3.0.1, callers 127.100.0.1 and on;
/// every port is ephemeral. Hosts get their settings from the product's own template.
/// @remarks Not thread safe. Methods throw `std::runtime_error` where a process does not do its
/// part in time.
class PacketFleet
{
public:
    /// Starts store and callers, and publishes the rows of a feed, of resolutions and of papers.
    explicit PacketFleet(Loop &eventLoop);
    PacketFleet(const PacketFleet &) = delete;
    auto operator=(const PacketFleet &) -> PacketFleet & = delete;

    /// Starts `zones` zones, each with so many hosts and upstreams of the feed, and one of papers.
    auto start(std::size_t zones, std::size_t hosts, std::size_t upstreams) -> void;
    /// Adds a host. @param wait until it is in rotation.
    auto addHost(const std::string &name, std::size_t zone, bool wait) -> void;
    /// Adds an upstream and registers it.
    auto addUpstream(const std::string &name, const std::string &service, std::size_t zone) -> void;
    /// Registers an upstream again, with other fields.
    auto registerUpstream(const std::string &name, const nlohmann::json &changes) -> void;
    /// Has an upstream say that it leaves.
    auto drainUpstream(const std::string &name) -> void;
    /// Takes an upstream off the store.
    auto unregisterUpstream(const std::string &name) -> void;
    /// Publishes the rows under another version. @returns the store's revision of it.
    auto publishRows() -> std::uint64_t;

    /// Begins requests at all zones: a second each, of all kinds.
    auto beginLoad(double perSecond) -> void;
    /// Ends the load, waits for what is under way and returns what callers and upstreams saw.
    auto endLoad() -> nlohmann::json;

    /// Asks a host to stop, waits for its end and starts it again, if `again`.
    auto stopHost(const std::string &name, bool again) -> void;
    /// Kills a host and starts it again, if `again`.
    auto killHost(const std::string &name, bool again) -> void;
    /// Returns a metric of a host; 0 where it has none.
    [[nodiscard]] auto metric(const std::string &host, const std::string &name) -> double;
    /// Waits until every host has at least a revision of the store.
    /// @returns whether they had within `limit`.
    auto waitRevision(std::uint64_t revision, Millis limit) -> bool;
    /// Waits until a host is in rotation. Throws where it is not in time.
    auto waitInRotation(const std::string &name) -> void;

    [[nodiscard]] auto host(const std::string &name) -> HostProcess &
    {
        return *this->hosts.at(name).process;
    }
    [[nodiscard]] auto hostNames() const -> std::vector<std::string>;
    [[nodiscard]] auto store() -> Standin & { return this->storeProcess; }
    [[nodiscard]] auto packets() -> Standin & { return this->packetsProcess; }
    [[nodiscard]] auto eventLoop() -> Loop & { return this->loop; }
    /// Returns the last lines of all hosts' logs, for a report.
    [[nodiscard]] auto logs() const -> std::string;
    /// Returns the IP number of a host.
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
    auto noteReady(const std::string &name) -> void;

    Loop &loop;
    TempFolder temporary;
    Standin storeProcess;
    Standin packetsProcess;
    std::map<std::string, HostRecord> hosts;
    std::map<std::string, nlohmann::json> upstreams; ///< Records by name, with their id.
    std::map<std::size_t, std::size_t> lastHost;     ///< Number of the last one by zone.
    std::map<std::size_t, std::size_t> lastUpstream;
    std::uint64_t version = 0;
    std::size_t zoneCount = 0;
};

} // namespace harness
