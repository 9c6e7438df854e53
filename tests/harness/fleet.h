/// Runs a complete deployment as separate processes on the loopback interface.
#pragma once

#include "harness/deployment.h"
#include "harness/fabric.h"
#include "harness/hostprocess.h"
#include "harness/httpget.h"
#include "harness/loop.h"
#include "harness/standin.h"
#include "harness/tabledraft.h"
#include "harness/tempfolder.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace harness {

/// Owns the processes of platform, upstreams, callers, fabric and entry hosts. The destructor kills
/// them all.
///
/// IP addresses: hosts 127.1.Z.N, upstreams 127.2.Z.N, platform 127.3.0.1, callers 127.4.0.1, links
/// 127.9.0.1, where Z is the number of the zone. All ports are ephemeral.
/// @remarks Not thread safe. Methods throw `std::runtime_error` if a process does not start, answer
/// or stop within its time limit.
class Fleet
{
public:
    /// Starts all processes except the hosts and publishes the first table.
    Fleet(Loop &loop, Deployment deployment);
    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;

    /// Starts every host of the deployment and waits until all are targets of the fabric.
    auto startHosts() -> void;

    /// Waits until every cell of the table has a home, and then for one clock bound: a home can
    /// prove that a new key is fresh only one clock bound after the start of its tenure.
    auto waitForCellHomes() -> void;

    /// Starts a host of the deployment or a new one, and sets its state on the host list to live.
    /// @param wait whether to wait until it is a target of the fabric.
    auto startHost(const std::string &name, const std::string &zone, bool wait) -> void;

    /// Sets a host to leaving and sends it SIGTERM. `waitStopped` waits for its exit.
    auto beginStop(const std::string &name) -> void;
    /// Waits until a host has exited and takes it off the host list.
    /// @returns its `stopped` event and its `exit_status`.
    auto waitStopped(const std::string &name, Millis limit) -> nlohmann::json;

    /// Kills a host with SIGKILL. It remains on the host list.
    auto killHost(const std::string &name) -> void;

    /// Returns a running host. Throws if there is none of that name.
    [[nodiscard]] auto host(const std::string &name) -> HostProcess &;
    /// Returns the names of the running hosts, of one zone or of all zones if `zone` is empty.
    [[nodiscard]] auto runningHosts(const std::string &zone = {}) const -> std::vector<std::string>;
    /// Returns the names of all hosts started so far, including those that have ended.
    [[nodiscard]] auto startedHosts() const -> std::vector<std::string>;
    /// Returns the log file of a host, to which all of its successive processes append.
    [[nodiscard]] auto logOf(const std::string &host) const -> std::filesystem::path;
    /// Returns the running host that holds the tenure of the service's cell in `zone`, according to
    /// its dump; empty if there is none.
    [[nodiscard]] auto homeOf(const std::string &service, const std::string &zone) -> std::string;
    /// Returns the zone of a host. Precondition: the deployment has it or it was started before.
    [[nodiscard]] auto zoneOf(const std::string &host) const -> std::string;

    /// Applies edits to the table and publishes it. @returns the new revision.
    auto publish(const std::vector<std::string> &edits) -> std::uint64_t;
    /// Publishes the table with `text` appended to its TOML. @returns the new revision.
    auto publishText(const std::string &text) -> std::uint64_t;
    /// Sets a host's state on the host list: "live", "leaving", or "" to remove the host.
    auto setHostState(const std::string &name, const std::string &state) -> void;

    /// Returns a page of a host's admin address as JSON. `parseMetrics` converts "metrics"; other
    /// pages, such as "dump", are JSON already. Also throws if the table revision in a dump is
    /// lower than in an earlier dump of the same process.
    [[nodiscard]] auto adminPage(const std::string &host, const std::string &page)
            -> nlohmann::json;

    /// Returns the address of a row. With `viaHost`, adds a link to that host's listener for the
    /// row and returns the link's address.
    [[nodiscard]] auto rowAddress(const std::string &row, const std::string &viaHost = {})
            -> std::string;

    /// Returns an upstream's process, which may have been killed.
    [[nodiscard]] auto upstream(const std::string &name) -> Standin &;
    [[nodiscard]] auto upstreamNames() const -> std::vector<std::string>;
    /// Starts a new process for an upstream that was killed.
    auto restartUpstream(const std::string &name) -> void;

    /// Returns the names of the endpoints that `words` select: the name of a host, an upstream or a
    /// zone, "hosts", "upstreams", "hosts of ZONE", "upstreams of ZONE", "platform", "callers" or
    /// "not ZONE". "not ZONE" includes the platform. A name that is unknown selects nothing.
    [[nodiscard]] auto endpoints(const std::string &words) const -> std::vector<std::string>;

    [[nodiscard]] auto fabric() -> Fabric & { return this->network; }
    [[nodiscard]] auto platform() -> Standin & { return this->platformProcess; }
    [[nodiscard]] auto callers() -> Standin & { return this->callerProcess; }
    [[nodiscard]] auto table() -> TableDraft & { return this->draft; }
    [[nodiscard]] auto plan() const -> const Deployment & { return this->deployment; }
    [[nodiscard]] auto revision() const -> std::uint64_t { return this->lastRevision; }
    /// Returns the folder with settings and logs. The destructor removes it.
    [[nodiscard]] auto folder() const -> const TempFolder & { return this->tempFolder; }

private:
    struct HostRecord
    {
        std::string zone;
        std::string ip;
        std::string peerLink;
        std::string relayLink;
        std::string listedState; ///< State on the host list; empty if not listed.
        bool running = false;
        std::uint64_t revision = 0;           ///< Highest in the dumps of the running process.
        std::unique_ptr<HostProcess> process; ///< Kept after a kill for the fabric's checks.
    };

    struct UpstreamRecord
    {
        UpstreamPlan plan;
        std::string ip;
        std::unique_ptr<Standin> process;
    };

    auto addUpstream(const UpstreamPlan &plan) -> void;
    auto startUpstream(UpstreamRecord &record) -> void;
    auto addRow(TableDraft::Record row) -> void;
    auto prepareHost(const std::string &name, const std::string &zone) -> HostRecord &;
    auto writeSettings(const std::string &name, const HostRecord &host) -> std::filesystem::path;
    auto publishHosts() -> void;
    /// Records the table revision of a host. Throws if the process has reverted to an older one.
    auto recordRevision(const std::string &name, std::uint64_t revision) -> void;
    auto applyEdit(const std::string &edit) -> void;
    [[nodiscard]] auto zoneNumber(const std::string &zone) const -> std::size_t;
    auto onHostEvent(const std::string &name) -> void;

    Loop &loop;
    Deployment deployment;
    TempFolder tempFolder;
    TableDraft draft;
    Fabric network;
    Standin platformProcess;
    Standin callerProcess;
    std::string platformLink;
    std::map<std::string, UpstreamRecord> upstreams;
    std::map<std::string, HostRecord> hosts;
    std::map<std::string, std::size_t> lastIpNumbers; ///< Last number assigned, by IP prefix.
    std::uint64_t lastRevision = 0;
};

} // namespace harness
