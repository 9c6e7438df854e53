/// A simulated fleet in virtual time: hosts, links that can be made faulty, and a fake platform.
#pragma once

#include "core/blackboard.h"
#include "core/configuration/configcontroller.h"
#include "core/homes/tenurecontroller.h"
#include "core/membership/membershipcontroller.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flamingograde {

/// How a faulty link between two hosts behaves.
enum class LinkFault : std::uint8_t {
    Silent, ///< Messages are lost; connections stay open until they time out.
    Refuse, ///< Open connections are closed, new ones are refused.
};

/// Hosts that run only the membership, tenure and configuration controllers. Deterministic.
///
/// After each event of a host, checks that no other running host is home of one of its cells, and
/// that its table revision did not decrease. Violations are added to `faults`.
class PeerFleet
{
public:
    explicit PeerFleet(std::uint64_t seed) : random(seed) {}

    /// Adds a host and starts it. If `seeded`, its seeds are all hosts added before.
    auto add(const std::string &name, const std::string &zone, bool seeded = false) -> void;
    /// Restarts a host that was killed, without any of its earlier state.
    auto start(const std::string &name) -> void;
    /// Ends a host's process at once; its machine refuses connections afterwards.
    auto kill(const std::string &name) -> void;
    /// Suspends a host's process without ending it; its connections stay open and silent.
    auto freeze(const std::string &name) -> void;
    auto wake(const std::string &name) -> void;
    /// Requests an orderly stop of a host.
    auto leave(const std::string &name) -> void;
    /// Applies a fault to all links between a host of `a` and one of `b`.
    auto fault(const std::set<std::string> &a, const std::set<std::string> &b, LinkFault kind)
            -> void;
    /// Removes all link faults.
    auto heal() -> void;
    auto run(Duration duration) -> void;
    /// Runs until `done` returns true, at most for `limit`.
    /// @returns the virtual time until then, or nothing if `done` stayed false.
    auto runUntil(const std::function<bool()> &done, Duration limit) -> std::optional<Duration>;

    /// Publishes a table with one service, which has a single row named `row`.
    auto publish(std::uint64_t revision, const std::string &row) -> void;
    /// Makes the platform serve `text` as `revision` to this host only.
    auto serve(const std::string &name, std::uint64_t revision, const std::string &text) -> void;

    [[nodiscard]] auto board(const std::string &name) -> Blackboard &
    {
        return *this->nodes.at(name).board;
    }
    /// Returns the running hosts that are home of the cell of `zone`.
    [[nodiscard]] auto homes(const std::string &zone) const -> std::vector<std::string>;
    /// Returns whether the cell of each zone that has running hosts has exactly one home.
    [[nodiscard]] auto hasOneHomePerZone() const -> bool;
    /// Returns whether all running hosts have `revision`.
    [[nodiscard]] auto haveRevision(std::uint64_t revision) const -> bool;
    /// Returns the state of `of` in the view of `at`; dead if it is unknown there.
    [[nodiscard]] auto stateAt(const std::string &at, const std::string &of) -> MemberState;
    [[nodiscard]] auto names() const -> std::vector<std::string>;

    std::set<std::string> zones { "a", "b", "c" }; ///< Zones with an upstream in the table.
    std::set<std::string> platformDown;            ///< Hosts whose reads from the platform fail.
    Duration listLag { 0 };                        ///< Delay until a started host is listed.
    std::uint64_t platformCalls = 0;
    std::map<std::string, std::uint64_t> bytesSent;
    std::vector<std::string> faults; ///< Violations that the checks found; a test expects none.

private:
    struct Node
    {
        Init init;
        std::unique_ptr<Blackboard> board;
        std::unique_ptr<ConfigController> config;
        std::unique_ptr<MembershipController> membership;
        std::unique_ptr<TenureController> tenure;
        std::uint64_t startCount = 0;
        bool running = false;
        bool frozen = false;
        bool leaving = false;
        Duration clockSkew { 0 };
        MonoTime listedSince;
        std::uint64_t revision = 0;
        std::deque<Event> queuedEvents; ///< Events that arrived while frozen.
        std::optional<Revision> pendingTableRead;
        std::uint64_t tableReadNumber =
                0; ///< Number of the latest read; keeps time-outs of older ones from ending it.
        std::optional<std::pair<std::uint64_t, std::string>> tableOverride;
    };
    struct Pending
    {
        MonoTime at;
        std::uint64_t order = 0;
        std::function<void()> run;
        friend auto operator<(const Pending &a, const Pending &b) -> bool
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };
    using Pair = std::pair<std::string, std::string>;

    auto schedule(Duration delay, std::function<void()> run) -> void;
    auto delay() -> Duration;
    auto tick(const std::string &name, std::uint64_t startCount) -> void;
    auto deliver(const std::string &name, Event event) -> void;
    auto perform(const std::string &name, const Action &action) -> void;
    auto connect(const std::string &from, const std::string &to) -> void;
    auto send(const std::string &from, const SendPeer &sent) -> void;
    auto disconnect(const Pair &pair, PeerLoss loss) -> void;
    auto readTable(const std::string &name, const ReadTable &read) -> void;
    auto answerTableRead(const std::string &name) -> void;
    auto readHosts(const std::string &name) -> void;
    auto check(const std::string &name) -> void;
    [[nodiscard]] auto nameOf(HostId id) const -> std::string;
    [[nodiscard]] auto faultOn(const std::string &a, const std::string &b) const
            -> std::optional<LinkFault>;
    [[nodiscard]] static auto pairOf(const std::string &a, const std::string &b) -> Pair;

    std::map<std::string, Node> nodes;
    std::map<Pair, std::uint64_t>
            connections; ///< Number of each open connection, by pair of hosts.
    std::map<Pair, LinkFault> linkFaults;
    std::map<Pair, MonoTime> lastDelivery; ///< Keeps the messages of each direction in order.
    std::priority_queue<Pending> pending;
    std::mt19937_64 random;
    MonoTime now { Duration(1000000000) };
    std::uint64_t order = 0;
    std::uint64_t lastConnection = 0;
    std::uint64_t revision = 0;
    std::string text;
};

} // namespace flamingograde
