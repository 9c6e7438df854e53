/// Which requests were run, and how often: the judge of every verdict.
#pragma once

#include "standins/common/asio.h"

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>
#include <unordered_map>

namespace standins {

/// Counts runs by idempotency key, and those without a key by their path. Shared by all upstreams
/// of a process.
/// @remarks Not thread safe.
class Ledger
{
public:
    /// @param file takes each run as a line, and what it holds already counts, so that the ledger
    /// outlives the process; empty for none.
    explicit Ledger(const std::string &file);

    /// Counts a run that begins now. @returns how often the request has run.
    auto record(const std::string &key, const std::string &path, const std::string &row,
                const std::string &service) -> std::uint32_t;

    /// Returns how often the request with this key, or path, has run.
    [[nodiscard]] auto timesOf(const std::string &key) const -> std::uint32_t;

    /// Returns how many keys were run more than once.
    [[nodiscard]] auto doubleRuns() const -> std::size_t { return this->doubles; }

    /// Returns at most `limit` runs with a key, those run more than once first.
    [[nodiscard]] auto runs(std::size_t limit) const -> Json;

    /// Compares with what a caller was told, as its command `verdicts` gives it.
    [[nodiscard]] auto check(const Json &verdicts) const -> Json;

private:
    struct Run
    {
        std::string row;
        std::string service;
        std::uint32_t times = 0;
    };

    auto count(const std::string &key, const std::string &path, const std::string &row,
               const std::string &service) -> std::uint32_t;
    auto load(const std::string &file) -> void;

    std::ofstream lines;
    std::unordered_map<std::string, Run> byKey;
    std::unordered_map<std::string, std::uint32_t> byPath;
    std::size_t doubles = 0;
};

} // namespace standins
