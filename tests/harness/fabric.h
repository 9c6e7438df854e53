/// The network between all processes of a test.
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

/// Everything goes through links of the proxy stand-in. A row's link leads to the listeners of the
/// hosts that pass a health check, as a fabric's does: a host that died, froze or stops stays a
/// target until a check fails.
/// @remarks Not thread safe.
class Fabric
{
public:
    Fabric(Loop &loop, const std::filesystem::path &errorFile);

    /// Makes a link. @returns its address.
    auto addLink(const std::string &name, const std::vector<std::string> &targets) -> std::string;

    /// Makes the link of a row. @returns its address, which is the row's in the table.
    auto addRowLink(const std::string &name) -> std::string;

    /// Sets the targets of a link.
    auto setTargets(const std::string &name, const std::vector<std::string> &targets) -> void;

    /// Gives a name to an IP, for faults.
    auto nameSide(const std::string &name, const std::string &ip) -> void;

    /// Takes a host into the health checks, in place of an earlier one of its name.
    /// Precondition: it lives until it is replaced; no callbacks run after its end.
    auto watch(HostProcess &host) -> void;

    /// Keeps a host out of the rows' targets, whatever its health, or ends that.
    auto setExcluded(const std::string &host, bool excluded) -> void;

    /// Brings the rows' targets up to date with the hosts.
    auto refresh() -> void;

    /// Returns whether the host is a target now.
    [[nodiscard]] auto isTarget(const std::string &host) const -> bool;

    [[nodiscard]] auto proxy() -> Standin & { return this->standin; }

private:
    struct Watched
    {
        HostProcess *host = nullptr;
        bool healthy = false;
        bool excluded = false;
    };

    auto check() -> void;
    auto onHealth(const std::string &host, const HostProcess *checked, bool healthy) -> void;
    [[nodiscard]] auto targetsOf(const std::string &rowAddress) const -> std::vector<std::string>;

    Loop &loop;
    Standin standin;
    boost::asio::steady_timer timer;
    std::map<std::string, Watched> hosts;
    std::map<std::string, std::string> rowLinks;                ///< Link name by row address.
    std::map<std::string, std::vector<std::string>> sent;       ///< Last targets by link name.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< For callbacks that come late.
};

} // namespace harness
