/// Fleet of real host processes without the fabric, whose proxying would distort the measurements.
#pragma once

#include "harness/deployment.h"
#include "harness/hostprocess.h"
#include "harness/loop.h"
#include "harness/standin.h"
#include "harness/tabledraft.h"
#include "harness/tempfolder.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Stand-in processes for the platform, the callers and all upstreams (one each), and hosts that
/// reach each other directly.
///
/// Addresses: hosts 127.1.Z.N, upstreams 127.2.Z.N, platform 127.3.0.1, with zone number Z and
/// running number N. Rows have nominal addresses 127.9.0.N, at which nothing listens.
/// @remarks Not thread safe. Methods throw `std::runtime_error` if a process does not become ready
/// or answer in time.
class BareFleet
{
public:
    /// Starts the stand-in processes, but no hosts, and publishes the table.
    BareFleet(harness::Loop &loop, harness::Deployment deployment);
    BareFleet(const BareFleet &) = delete;
    auto operator=(const BareFleet &) -> BareFleet & = delete;

    /// Adds `count` upstreams at which nothing listens, in services of ten each, and publishes the
    /// table.
    auto addIdleUpstreams(int count) -> void;

    /// Starts the hosts and waits until each has all others as alive members and has a table.
    auto startHosts() -> void;
    /// Kills a host and starts another one in its zone. Precondition: host `name` runs.
    auto replaceHost(const std::string &name, const std::string &replacement) -> void;

    /// Applies an edit to the table and publishes it. @returns the table's new revision.
    auto publish(const std::string &edit) -> std::uint64_t;
    /// Waits until the table published last is in force on all hosts.
    /// @returns the seconds since it was published; `std::nullopt` after 15 s.
    auto waitInForce() -> std::optional<double>;

    /// Requests the metrics of all hosts concurrently. @returns the metrics by host name.
    auto metrics() -> std::map<std::string, nlohmann::json>;
    /// Returns the address at which `host` listens for a row.
    auto listenerAddress(const std::string &host, const std::string &row) -> std::string;
    /// Returns the address at which an upstream listens.
    auto upstreamAddress(const std::string &name) -> std::string;

    /// Returns the length of the table's text in bytes.
    [[nodiscard]] auto tableBytes() const -> std::size_t { return this->draft.toToml().size(); }
    [[nodiscard]] auto platform() -> harness::Standin & { return this->platformProcess; }
    [[nodiscard]] auto callers() -> harness::Standin & { return this->callerProcess; }
    [[nodiscard]] auto upstreams() -> harness::Standin & { return *this->upstreamProcess; }
    [[nodiscard]] auto plan() const -> const harness::Deployment & { return this->deployment; }

private:
    struct Host
    {
        harness::HostPlan plan;
        std::unique_ptr<harness::HostProcess> process;
    };

    auto startUpstreams() -> void;
    auto addRows() -> void;
    auto startHost(const harness::HostPlan &plan) -> void;
    auto writeSettings(const harness::HostPlan &plan) -> std::filesystem::path;
    /// Waits until all started hosts are ready, and sends the host list to the platform.
    auto publishHostList() -> void;
    auto publishTable() -> std::uint64_t;
    [[nodiscard]] auto isMembershipComplete() -> bool;
    [[nodiscard]] auto nextIp(const std::string &zone, int kind) -> std::string;

    harness::Loop &loop;
    harness::Deployment deployment;
    harness::TempFolder temporary;
    harness::TableDraft draft;
    harness::Standin platformProcess;
    harness::Standin callerProcess;
    std::unique_ptr<harness::Standin> upstreamProcess;
    std::map<std::string, Host> hosts;
    std::map<std::string, int> lastNumbers; ///< Last number assigned, by address prefix.
    std::uint64_t revision = 0;
    std::chrono::steady_clock::time_point published;
};
