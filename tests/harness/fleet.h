/// A whole deployment as real processes on loopback.
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

/// Platform, upstreams, callers, fabric and entry hosts. Its destructor ends them all.
///
/// IP numbers: hosts 127.1.Z.N, upstreams 127.2.Z.N, platform 127.3.0.1, callers 127.4.0.1, links
/// 127.9.0.1; every port is ephemeral.
/// @remarks Not thread safe. Methods throw `std::runtime_error` where a process does not do its
/// part in time.
class Fleet
{
public:
    /// Starts all but the hosts and publishes the first table.
    Fleet(Loop &loop, Deployment deployment);
    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;

    /// Starts every host of the deployment and waits until all are in the fabric.
    auto startHosts() -> void;

    /// Waits until every cell of the table has a home that can prove new keys fresh: a clock bound
    /// after its tenure began.
    auto waitSettled() -> void;

    /// Starts a host, new or of the deployment, and lists it as live.
    /// @param wait whether to wait until it is in the fabric.
    auto startHost(const std::string &name, const std::string &zone, bool wait) -> void;

    /// Asks a host to stop; `waitStopped` waits for its last word and its end.
    auto beginStop(const std::string &name) -> void;
    auto waitStopped(const std::string &name, Millis limit) -> nlohmann::json;

    /// Kills a host at once. The host list still has it.
    auto killHost(const std::string &name) -> void;

    /// Returns a host that runs. Throws for another.
    [[nodiscard]] auto host(const std::string &name) -> HostProcess &;
    /// Returns the names of the hosts that run; those of one zone if it is given.
    [[nodiscard]] auto runningHosts(const std::string &zone = {}) const -> std::vector<std::string>;
    /// Returns the names of all hosts that were started, also of those that ended.
    [[nodiscard]] auto startedHosts() const -> std::vector<std::string>;
    /// Returns the file with the log of all processes of a host.
    [[nodiscard]] auto logOf(const std::string &host) const -> std::filesystem::path;
    /// Returns the host that says it is home of the service's cell in `zone`; empty for none.
    [[nodiscard]] auto homeOf(const std::string &service, const std::string &zone) -> std::string;
    /// Returns the zone of a host. Precondition: it was started once.
    [[nodiscard]] auto zoneOf(const std::string &host) const -> std::string;

    /// Applies edits to the table and publishes it. @returns its revision.
    auto publish(const std::vector<std::string> &edits) -> std::uint64_t;
    /// Publishes the table's text with `text` after it. @returns its revision.
    auto publishText(const std::string &text) -> std::uint64_t;
    /// Changes a host's state on the host list: "live", "leaving" or "" to take it off.
    auto listHost(const std::string &name, const std::string &state) -> void;

    /// Returns a page of a host's admin address as JSON: "dump", or "metrics" by name and labels.
    /// Throws too if the dump shows an older table than an earlier dump of the process.
    [[nodiscard]] auto adminPage(const std::string &host, const std::string &page)
            -> nlohmann::json;

    /// Returns the address of a row, or of the row at one host alone.
    [[nodiscard]] auto rowAddress(const std::string &row, const std::string &viaHost = {})
            -> std::string;

    /// Returns an upstream's process; a killed one too, until it is started again.
    [[nodiscard]] auto upstream(const std::string &name) -> Standin &;
    [[nodiscard]] auto upstreamNames() const -> std::vector<std::string>;
    /// Starts an upstream of the deployment again after a kill.
    auto restartUpstream(const std::string &name) -> void;

    /// Returns the names of the sides that `words` stand for: a host, an upstream, a zone, "hosts",
    /// "upstreams", "hosts of ZONE", "upstreams of ZONE", "platform", "callers", "not ZONE".
    [[nodiscard]] auto sides(const std::string &words) const -> std::vector<std::string>;

    [[nodiscard]] auto fabric() -> Fabric & { return this->network; }
    [[nodiscard]] auto platform() -> Standin & { return this->configService; }
    [[nodiscard]] auto callers() -> Standin & { return this->callerProcess; }
    [[nodiscard]] auto table() -> TableDraft & { return this->draft; }
    [[nodiscard]] auto plan() const -> const Deployment & { return this->deployment; }
    [[nodiscard]] auto revision() const -> std::uint64_t { return this->lastRevision; }
    /// Returns the folder with settings and logs; it is removed with the fleet.
    [[nodiscard]] auto folder() const -> const TempFolder & { return this->temporary; }

private:
    struct HostRecord
    {
        std::string zone;
        std::string ip;
        std::string peerLink;
        std::string relayLink;
        std::string listed; ///< Its state on the host list; empty: not on it.
        bool running = false;
        std::uint64_t revision = 0;           ///< Highest seen in dumps of the running process.
        std::unique_ptr<HostProcess> process; ///< Kept after a kill: the fabric still checks it.
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
    /// Throws if a process goes back to an older table.
    auto noteRevision(const std::string &name, std::uint64_t revision) -> void;
    auto applyEdit(const std::string &edit) -> void;
    [[nodiscard]] auto zoneNumber(const std::string &zone) const -> std::size_t;
    auto onHostEvent(const std::string &name) -> void;

    Loop &loop;
    Deployment deployment;
    TempFolder temporary;
    TableDraft draft;
    Fabric network;
    Standin configService;
    Standin callerProcess;
    std::string platformLink;
    std::map<std::string, UpstreamRecord> upstreams;
    std::map<std::string, HostRecord> hosts;
    std::map<std::string, std::size_t> usedIps; ///< Last number given out by prefix.
    std::uint64_t lastRevision = 0;
};

} // namespace harness
