/// Hosts that talk to each other in virtual time, over links with faults, and a fake platform.
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

/// What a link between two hosts, or a host and the platform, does.
enum class LinkFault : std::uint8_t {
    Silent, ///< Nothing passes; connections stay until they time out.
    Refuse, ///< Open connections are reset, new ones refused.
};

/// Hosts with the membership, tenure and configuration controllers only. Deterministic.
///
/// After each event of a host it is checked that no other host that is at work holds one of its
/// cells, and that its revision did not fall.
class PeerFleet
{
public:
    explicit PeerFleet(std::uint64_t seed) : random(seed) {}

    /// Adds a host and starts it. Its seeds are the hosts that were added before, if `seeded`.
    auto add(const std::string &name, const std::string &zone, bool seeded = false) -> void;
    /// Starts a host that was killed, without memory.
    auto start(const std::string &name) -> void;
    /// Ends a host at once; its machine refuses connections afterwards.
    auto kill(const std::string &name) -> void;
    /// Stops a host's process without ending it; connections to it stay open and are silent.
    auto freeze(const std::string &name) -> void;
    auto wake(const std::string &name) -> void;
    /// Asks a host to stop in order.
    auto leave(const std::string &name) -> void;
    /// Puts a fault on all links between a host of `a` and one of `b`.
    auto fault(const std::set<std::string> &a, const std::set<std::string> &b, LinkFault kind)
            -> void;
    /// Takes all faults away.
    auto heal() -> void;
    auto run(Duration duration) -> void;
    /// Runs until `done` or for `most`. @returns how long it took, or nothing.
    auto runUntil(const std::function<bool()> &done, Duration most) -> std::optional<Duration>;

    /// Publishes a table with one service whose one row is called `row`.
    auto publish(std::uint64_t revision, const std::string &row) -> void;
    /// Has the platform serve `text` as `revision` to one host, whatever the others get.
    auto serve(const std::string &name, std::uint64_t revision, const std::string &text) -> void;

    [[nodiscard]] auto board(const std::string &name) -> Blackboard &
    {
        return *this->nodes.at(name).board;
    }
    /// Returns the hosts of `zone` at work that are home of its cell.
    [[nodiscard]] auto homes(const std::string &zone) const -> std::vector<std::string>;
    /// Returns whether every cell of the zones of running hosts has one home.
    [[nodiscard]] auto isHomed() const -> bool;
    /// Returns whether all hosts at work have `revision`.
    [[nodiscard]] auto haveRevision(std::uint64_t revision) const -> bool;
    /// Returns the state in which `of` is in the view of `at`.
    [[nodiscard]] auto stateAt(const std::string &at, const std::string &of) -> MemberState;
    [[nodiscard]] auto names() const -> std::vector<std::string>;

    std::set<std::string> zones { "a", "b", "c" }; ///< With upstreams in the table.
    std::set<std::string> platformDown;            ///< Hosts that do not reach the platform.
    Duration listLag { 0 };                        ///< How late the host list is.
    std::uint64_t platformCalls = 0;
    std::map<std::string, std::uint64_t> bytesSent;
    std::vector<std::string> faults; ///< What the checks found; empty at the end of a good run.

private:
    struct Node
    {
        Init init;
        std::unique_ptr<Blackboard> board;
        std::unique_ptr<ConfigController> config;
        std::unique_ptr<MembershipController> membership;
        std::unique_ptr<TenureController> tenure;
        std::uint64_t life = 0;
        bool running = false;
        bool frozen = false;
        bool leaving = false;
        Duration skew { 0 };
        MonoTime listedFrom;
        std::uint64_t revision = 0;
        std::deque<Event> waiting; ///< Came while frozen.
        std::optional<Revision> watch;
        std::uint64_t watchNumber = 0; ///< Of the latest read, so that an older one cannot end it.
        std::optional<std::pair<std::uint64_t, std::string>> served;
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

    auto later(Duration delay, std::function<void()> run) -> void;
    auto delay() -> Duration;
    auto tick(const std::string &name, std::uint64_t life) -> void;
    auto give(const std::string &name, Event event) -> void;
    auto perform(const std::string &name, const Action &action) -> void;
    auto connect(const std::string &from, const std::string &to) -> void;
    auto send(const std::string &from, const SendPeer &sent) -> void;
    auto disconnect(const Pair &pair, PeerLoss loss) -> void;
    auto readTable(const std::string &name, const ReadTable &read) -> void;
    auto answerTable(const std::string &name) -> void;
    auto readHosts(const std::string &name) -> void;
    auto check(const std::string &name) -> void;
    [[nodiscard]] auto nameOf(HostId id) const -> std::string;
    [[nodiscard]] auto faultOn(const std::string &a, const std::string &b) const
            -> std::optional<LinkFault>;
    [[nodiscard]] static auto pairOf(const std::string &a, const std::string &b) -> Pair;

    std::map<std::string, Node> nodes;
    std::map<Pair, std::uint64_t> connections; ///< Number of each, by pair.
    std::map<Pair, LinkFault> linkFaults;
    std::map<Pair, MonoTime> lastDelivery; ///< Keeps the order of a direction.
    std::priority_queue<Pending> pending;
    std::mt19937_64 random;
    MonoTime now { Duration(1000000000) };
    std::uint64_t order = 0;
    std::uint64_t lastConnection = 0;
    std::uint64_t revision = 0;
    std::string text;
};

} // namespace flamingograde
