/// The simulated network between all processes of a test.
#pragma once

#include "harness/hostprocess.h"
#include "harness/loop.h"
#include "harness/standin.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace harness {

/// Routes all connections through links of the proxy stand-in. Like a load-balancing fabric, it
/// forwards a row's link to the listeners of the hosts that pass a periodic health check. A host
/// that has died, is frozen or is stopping therefore remains a target until a check fails.
/// @remarks Not thread safe.
class Fabric
{
public:
    Fabric(Loop &loop, const std::filesystem::path &errorFile);

    /// Adds a link that forwards to `targets`. @returns the address at which the link listens.
    auto addLink(const std::string &name, const std::vector<std::string> &targets) -> std::string;

    /// Adds the link of a row. @returns its address, which is the row's address in the table.
    auto addRowLink(const std::string &name) -> std::string;

    /// Sets the targets of a link. Sends nothing to the proxy if they are unchanged.
    auto setTargets(const std::string &name, const std::vector<std::string> &targets) -> void;

    /// Assigns a name to an IP address, by which fault injection refers to it.
    auto nameEndpoint(const std::string &name, const std::string &ip) -> void;

    /// Adds a host to the health checks. Replaces an earlier process of the same name.
    /// Precondition: `host` outlives its registration, and no callbacks run after its destruction.
    auto monitor(HostProcess &host) -> void;

    /// Excludes a host from the rows' targets regardless of its health, or ends the exclusion.
    auto setExcluded(const std::string &host, bool excluded) -> void;

    /// Recomputes the targets of all rows and sends the changes to the proxy.
    auto refresh() -> void;

    /// Returns whether the host passed its last health check and is not excluded.
    [[nodiscard]] auto isTarget(const std::string &host) const -> bool;

    [[nodiscard]] auto proxy() -> Standin & { return this->proxyProcess; }

private:
    struct MonitoredHost
    {
        HostProcess *host = nullptr;
        bool healthy = false;
        bool excluded = false;
    };

    auto checkHealth() -> void;
    auto onHealthResult(const std::string &host, const HostProcess *checked, bool healthy) -> void;
    [[nodiscard]] auto targetsOf(const std::string &rowAddress) const -> std::vector<std::string>;

    Loop &loop;
    Standin proxyProcess;
    boost::asio::steady_timer timer;
    std::map<std::string, MonitoredHost> hosts;
    std::map<std::string, std::string> rowLinks;                 ///< Link name by row address.
    std::map<std::string, std::vector<std::string>> lastTargets; ///< Last sent, by link name.
    /// Callbacks hold weak pointers to it, by which they detect that the fabric was destroyed.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace harness
