/// Records which requests were run and how often, to verify the verdicts that callers received.
#pragma once

#include "standins/common/asio.h"

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>
#include <unordered_map>

namespace standins {

/// Counts runs by idempotency key, and by path for requests without a key. Shared by all upstreams
/// of a process.
/// @remarks Not thread safe.
class Ledger
{
public:
    /// @param file a file to which each run is appended as a line. Runs already in it are counted,
    /// so that the ledger survives a restart of the process. Empty for none.
    explicit Ledger(const std::string &file);

    /// Records the start of a run. @returns how often the request has been run, including this run.
    auto record(const std::string &key, const std::string &path, const std::string &row,
                const std::string &service) -> std::uint32_t;

    /// Returns how often the request with this key, or with this path, has been run.
    [[nodiscard]] auto runCount(const std::string &key) const -> std::uint32_t;

    /// Returns the number of keys that were run more than once.
    [[nodiscard]] auto doubleRuns() const -> std::size_t { return this->doubleRunKeys; }

    /// Returns at most `limit` keys and their runs, starting with keys that were run more than
    /// once.
    [[nodiscard]] auto listRuns(std::size_t limit) const -> Json;

    /// Checks the verdicts that a caller received against the recorded runs.
    /// @param verdicts the answer to the caller's command `verdicts`.
    /// @returns the requests answered `not-run` but run, run more than once although not
    /// idempotent, and answered but never run.
    [[nodiscard]] auto check(const Json &verdicts) const -> Json;

private:
    struct KeyRuns
    {
        std::string row;
        std::string service;
        std::uint32_t times = 0;
    };

    auto countRun(const std::string &key, const std::string &path, const std::string &row,
                  const std::string &service) -> std::uint32_t;
    auto loadFile(const std::string &file) -> void;

    std::ofstream output;
    std::unordered_map<std::string, KeyRuns> runsByKey;
    std::unordered_map<std::string, std::uint32_t> runCountByPath;
    std::size_t doubleRunKeys = 0;
};

} // namespace standins
