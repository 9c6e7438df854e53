/// One host that a bench gives events to, with a clock of its own.
#pragma once

#include <flamingograde/balancer.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingograde {

/// Returns a table of the size of the Association's larger service.
[[nodiscard]] auto benchTable() -> std::string;

/// A `Balancer` that is alone in its fleet: home of every cell, with no transport behind it.
/// @remarks Not thread safe.
class BenchHost
{
public:
    /// Starts the host with a table and lets time pass until it is home.
    explicit BenchHost(std::string table = benchTable());

    /// Gives an event to the host. @returns the actions, valid until the next event.
    auto give(Event event) -> const std::vector<Action> &;
    /// Moves the clocks on, without a tick.
    auto advance(Duration time) -> void;
    /// Lets time pass, with ticks.
    auto pass(Duration time) -> void;

    /// Has a caller arrive at `address`. @returns its exchange.
    auto arrive(Address address, const std::string &token = {}, const std::string &key = {})
            -> ExchangeId;
    /// Reports on attempt 1 of an exchange.
    auto report(ExchangeId exchange, Progress progress) -> void;
    /// Opens a feed whole. @returns its exchange.
    auto openFeed(const std::string &token = {}) -> ExchangeId;
    /// Opens a feed and returns the token that its caller gets.
    auto feedToken() -> std::string;

    [[nodiscard]] auto self() const -> const Member & { return this->member; }
    [[nodiscard]] auto table() const -> const std::string & { return this->text; }
    [[nodiscard]] auto balancer() const -> const Balancer & { return this->host; }

private:
    Member member;
    std::string text;
    Balancer host;
    Now clock;
    std::uint64_t lastExchange = 0;
};

/// Addresses of the rows of a `BenchHost`.
inline constexpr Address feedRow { 0x0A090001, 80 };
inline constexpr Address keyedRow { 0x0A090002, 80 };
inline constexpr Address readRow { 0x0A090003, 80 };

inline constexpr std::size_t benchUpstreams = 14; ///< Of the rows' service.

/// Returns the bytes that the allocator has given out and not got back.
[[nodiscard]] auto heldBytes() -> double;

} // namespace flamingograde
