/// Single-host fixture for benchmarks, driven by events and a simulated clock.
#pragma once

#include <flamingograde/balancer.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingograde {

/// Returns the text of a table with three rows and one service of `benchUpstreams` upstreams, the
/// size of the larger service of the reference deployment.
[[nodiscard]] auto benchTable() -> std::string;

/// A `Balancer` that is the only host of its fleet. It is the home of every cell, and no transport
/// carries out its actions.
/// @remarks Not thread safe.
class BenchHost
{
public:
    /// Starts the host with a table and advances the clock until it is the home of its cells.
    explicit BenchHost(std::string table = benchTable());

    /// Passes an event to the balancer. @returns the actions, valid until the next event.
    auto handleEvent(Event event) -> const std::vector<Action> &;
    /// Advances the monotonic clock and the wall clock without a tick.
    auto advance(Duration time) -> void;
    /// Advances the clocks by `time` and runs a tick after each `config::tickPeriod`.
    auto runFor(Duration time) -> void;

    /// Simulates a caller that arrives at `address`. @returns its exchange.
    auto arrive(Address address, const std::string &token = {}, const std::string &key = {})
            -> ExchangeId;
    /// Reports the progress of attempt 1 of an exchange.
    auto report(ExchangeId exchange, Progress progress) -> void;
    /// Opens a feed up to the head of its answer. @returns its exchange.
    auto openFeed(const std::string &token = {}) -> ExchangeId;
    /// Opens a feed. @returns the token set in the answer to its caller; empty if there is none.
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

/// Row addresses in `benchTable()`.
inline constexpr Address feedRow { 0x0A090001, 80 };
inline constexpr Address keyedRow { 0x0A090002, 80 };
inline constexpr Address readRow { 0x0A090003, 80 };

inline constexpr std::size_t benchUpstreams = 14; ///< Upstreams of the service in `benchTable()`.

/// Returns the bytes allocated by malloc and not yet freed, with those of mapped blocks.
[[nodiscard]] auto allocatedBytes() -> double;

} // namespace flamingograde
