/// A child process of a test.
#pragma once

#include "harness/loop.h"

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace harness {

/// Returns the path of a program that stands in the same folder as the running one.
[[nodiscard]] auto programPath(const std::string &name) -> std::filesystem::path;

/// What to start.
struct ProcessOptions
{
    std::filesystem::path program;
    std::vector<std::string> arguments;
    std::filesystem::path errorFile; ///< Takes the standard error.
};

/// A child with pipes on standard input and output. The kernel kills it when this process dies,
/// however that happens; the destructor kills it otherwise.
/// @remarks Not thread safe. Precondition: made on the main thread, on whose end the kernel acts.
class Process
{
public:
    using LineHandler = std::function<void(const std::string &)>;

    /// Starts the program. `onLine` is called for each line of its standard output.
    Process(Loop &loop, const ProcessOptions &options, LineHandler onLine);
    ~Process();
    Process(const Process &) = delete;
    auto operator=(const Process &) -> Process & = delete;

    [[nodiscard]] auto pid() const -> pid_t { return this->child; }
    /// Writes one line to its standard input. Nothing happens if it has ended.
    auto writeLine(const std::string &line) -> void;
    /// Sends a signal, if it has not ended.
    auto kill(int signal) -> void;
    /// Returns the status of `waitpid`, once it has ended.
    [[nodiscard]] auto exitStatus() -> std::optional<int>;
    /// Returns whether its standard output has ended, so that no more lines come.
    [[nodiscard]] auto outputEnded() const -> bool;

private:
    struct Reader;

    pid_t child = -1;
    int input = -1;
    std::optional<int> status;
    std::shared_ptr<Reader> reader;
};

} // namespace harness
