/// Real hosts without a fabric between them, for measures that a proxy would blur.
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

/// Platform, callers, one process with all upstreams, and hosts that reach each other directly.
///
/// IP numbers: hosts 127.1.Z.N, upstreams 127.2.Z.N, platform 127.3.0.1; rows have nominal
/// addresses 127.9.0.N, where nothing listens.
/// @remarks Not thread safe. Methods throw `std::runtime_error` where a process does not do its
/// part in time.
class BareFleet
{
public:
    /// Starts all but the hosts and publishes the table.
    BareFleet(harness::Loop &loop, harness::Deployment deployment);
    BareFleet(const BareFleet &) = delete;
    auto operator=(const BareFleet &) -> BareFleet & = delete;

    /// Adds services with ten upstreams each, at which nothing listens, and publishes the table.
    auto addIdleUpstreams(int count) -> void;

    /// Starts the hosts and waits until each knows all others and has the table.
    auto startHosts() -> void;
    /// Kills a host and starts another in its zone. Precondition: the host runs.
    auto replaceHost(const std::string &name, const std::string &by) -> void;

    /// Applies an edit to the table and publishes it. @returns its revision.
    auto publish(const std::string &edit) -> std::uint64_t;
    /// Waits until the last table is in force on all hosts.
    /// @returns the seconds since it was published; nothing if that takes too long.
    auto waitInForce() -> std::optional<double>;

    /// Returns the metrics of all hosts, read at the same time, by host.
    auto metrics() -> std::map<std::string, nlohmann::json>;
    /// Returns where `host` listens for a row.
    auto listenerOf(const std::string &host, const std::string &row) -> std::string;
    /// Returns where an upstream listens.
    auto upstreamAddress(const std::string &name) -> std::string;

    /// Returns the length of the table's text.
    [[nodiscard]] auto tableBytes() const -> std::size_t { return this->draft.toToml().size(); }
    [[nodiscard]] auto platform() -> harness::Standin & { return this->configService; }
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
    /// Waits until the hosts that run are ready, and lists them.
    auto listHosts() -> void;
    auto publishTable() -> std::uint64_t;
    [[nodiscard]] auto isSettled() -> bool;
    [[nodiscard]] auto nextIp(const std::string &zone, int kind) -> std::string;

    harness::Loop &loop;
    harness::Deployment deployment;
    harness::TempFolder temporary;
    harness::TableDraft draft;
    harness::Standin configService;
    harness::Standin callerProcess;
    std::unique_ptr<harness::Standin> upstreamProcess;
    std::map<std::string, Host> hosts;
    std::map<std::string, int> usedIps; ///< Last number given out by prefix.
    std::uint64_t revision = 0;
    std::chrono::steady_clock::time_point published;
};
