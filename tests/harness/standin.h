/// Runs a stand-in process and speaks its control protocol.
#pragma once

#include "harness/loop.h"
#include "harness/process.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace harness {

/// A running stand-in, controlled by JSON lines as described in tests/standins/README.md.
/// @remarks Not thread safe.
class Standin
{
public:
    /// Starts `standin-KIND` with `options` and waits for its `ready` event.
    Standin(Loop &loop, const std::string &kind, const nlohmann::json &options,
            const std::filesystem::path &errorFile);

    /// Sends a command and waits for its answer. Throws `std::runtime_error` if the answer is an
    /// `error`, the process has ended, or no answer arrives within `limit`.
    auto call(nlohmann::json command, Millis limit = defaultLimit) -> nlohmann::json;

    /// Sends a command without waiting. @returns its id, for `waitForAnswer`.
    auto send(nlohmann::json command) -> std::uint64_t;

    /// Sends a command and discards its answer. May be called from callbacks of the loop.
    auto post(nlohmann::json command) -> void;

    /// Waits for the answer to command `id`. Throws as `call` does.
    auto waitForAnswer(std::uint64_t id, Millis limit = defaultLimit) -> nlohmann::json;

    /// Returns the `ready` event that it sent at its start.
    [[nodiscard]] auto readyEvent() const -> const nlohmann::json & { return this->ready; }
    [[nodiscard]] auto process() -> Process & { return this->child; }

private:
    auto onLine(const std::string &line) -> void;

    Loop &loop;
    std::string kind;
    nlohmann::json ready;
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, nlohmann::json> answers;
    std::set<std::uint64_t> posted;
    Process child;
};

} // namespace harness
