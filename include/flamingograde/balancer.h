/// Entry point of the library that decides for a host.
#pragma once

#include <flamingograde/action.h>
#include <flamingograde/caps.h>
#include <flamingograde/clock.h>
#include <flamingograde/event.h>
#include <flamingograde/init.h>
#include <flamingograde/packetdecision.h>
#include <flamingograde/packethead.h>
#include <flamingograde/stats.h>

#include <memory>
#include <string>
#include <vector>

namespace flamingograde {

class Blackboard;
class Controllers;

/// Makes all decisions of one host: takes events and returns actions.
///
/// It has no clock, socket, thread or random source of its own: times and the random seed are
/// passed in, so that the same events give the same actions.
/// @remarks Not thread safe: one loop on one thread owns it. Throws nothing.
class Balancer
{
public:
    /// Precondition: `init.self` has a name, a zone and addresses.
    explicit Balancer(Init init);
    ~Balancer();
    Balancer(const Balancer &) = delete;
    auto operator=(const Balancer &) -> Balancer & = delete;

    /// Processes one event and returns the resulting actions in the order of their execution.
    /// @param now both clocks at the event. Precondition: `now.mono` never falls.
    /// @param event what happened.
    /// @returns the actions; the reference is valid until the next call.
    [[nodiscard]] auto handle(Now now, Event event) -> const std::vector<Action> &;

    /// Decides on a batch of packets from callers, in order.
    /// @param now both clocks at the call. Precondition: `now.mono` never falls.
    /// @param heads the packets. Precondition: `Init::flowsTracked` is not 0.
    /// @param decisions replaced by one decision per packet; nothing is allocated if its capacity
    /// suffices.
    auto steer(Now now, const std::vector<PacketHead> &heads,
               std::vector<PacketDecision> &decisions) -> void;

    /// Returns the reasons for a decision as `key=value` words for the log.
    /// Precondition: the decision was made by the last call of `steer`.
    [[nodiscard]] auto describe(const PacketHead &head, const PacketDecision &decision) const
            -> std::string;

    /// Returns the limits and the version of this build. Precondition: none.
    [[nodiscard]] auto caps() const -> Caps;

    /// Returns whether this host has a table, or a directory that counts as current, and is not
    /// stopping. Precondition: none.
    [[nodiscard]] auto isServing() const -> bool;

    /// Returns whether this host has packet rows and upstreams, which may be outdated, so that it
    /// can forward packets. Precondition: none.
    [[nodiscard]] auto hasDirectory() const -> bool;

    /// Returns the counters. Precondition: none.
    [[nodiscard]] auto stats() const -> Stats;

    /// Returns the whole state as JSON text. Precondition: none.
    [[nodiscard]] auto dump() const -> std::string;

    /// Returns where a request to `address` with `token` and `key` would go now, and why, as JSON
    /// text. Changes no state. Precondition: none.
    [[nodiscard]] auto explain(Address address, const std::string &token,
                               const std::string &key) const -> std::string;

private:
    std::unique_ptr<Blackboard> blackboard;
    std::unique_ptr<Controllers> controllers;
};

} // namespace flamingograde
