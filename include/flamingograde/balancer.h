/// The deciding library's entry point.
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

/// Decides everything that one host does. Takes events, returns actions.
///
/// It has no clock, socket, thread or random source: times and seed are given to it, so that the
/// same events give the same actions.
/// @remarks Not thread safe: one loop on one thread owns it. Throws nothing.
class Balancer
{
public:
    /// Precondition: `init.self` has a name, a zone and addresses.
    explicit Balancer(Init init);
    ~Balancer();
    Balancer(const Balancer &) = delete;
    auto operator=(const Balancer &) -> Balancer & = delete;

    /// Takes one event and returns what is to be done, in this order.
    /// @param now both clocks at the event. Precondition: `now.mono` never falls.
    /// @param event what happened.
    /// @returns the actions; the reference is valid until the next call.
    [[nodiscard]] auto handle(Now now, Event event) -> const std::vector<Action> &;

    /// Decides on a batch of callers' packets, in their order.
    /// @param now both clocks. Precondition: `now.mono` never falls.
    /// @param heads the packets. Precondition: `Init::flowsTracked` is not 0.
    /// @param decisions gets one for each packet; nothing is allocated where it has the capacity.
    auto steer(Now now, const std::vector<PacketHead> &heads,
               std::vector<PacketDecision> &decisions) -> void;

    /// Returns what decided on a packet, as `key=value` words for the log.
    /// Precondition: the decision is of the last call of `steer`.
    [[nodiscard]] auto describe(const PacketHead &head, const PacketDecision &decision) const
            -> std::string;

    /// Returns limits and version. Precondition: none.
    [[nodiscard]] auto caps() const -> Caps;

    /// Returns whether this host knows what to serve and does not stop. Precondition: none.
    [[nodiscard]] auto isServing() const -> bool;

    /// Returns the counters. Precondition: none.
    [[nodiscard]] auto stats() const -> Stats;

    /// Returns the whole state as JSON text. Precondition: none.
    [[nodiscard]] auto dump() const -> std::string;

    /// Says where a request to `address` with `token` and `key` would go now, and why, as JSON
    /// text. Changes nothing. Precondition: none.
    [[nodiscard]] auto explain(Address address, const std::string &token,
                               const std::string &key) const -> std::string;

private:
    std::unique_ptr<Blackboard> blackboard;
    std::unique_ptr<Controllers> controllers;
};

} // namespace flamingograde
